//! Commands that wait before they are sent: they are checked against the present state at
//! the moment of sending.

#[path = "support/site.rs"]
mod site;
#[path = "support/standins.rs"]
mod standins;
mod support;

use std::time::{Duration, Instant};

use bitternfold::core::evidence::permission::{SendRefusal, StartRefusal};
use bitternfold::core::state::machine::{Machine, MachinePhase};
use bitternfold::core::ClusterModel;
use bitternfold::wire::{Command, CommandBatch, JobId, MachineId, TaskId};
use site::{job_id, run_async_test, Site, TEST_TIMEOUT};
use tokio::time::sleep;

/// Tasks of the job that occupies the machines that will hang, one on each: more stops than
/// there are sockets for commands.
const FILLER_TASKS: u32 = 60;
/// How many of these tasks have to run before the machines begin to hang.
const MIN_RUNNING: usize = 36;
/// Limit on the sockets of a controller.
const SOCKET_LIMIT: u32 = 128;
/// Sockets of a controller for commands: 24 of the limit are reserved, and a quarter of the
/// remaining 104 is for commands.
const COMMAND_SOCKETS: usize = 26;

/// Waits until a condition holds. Fails if that takes too long; `condition` describes it.
async fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "timed out waiting until {condition}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// A start waits for a socket, as machines that accept connections but don't respond take all
/// of them. Meanwhile its job is cancelled and the cancellation is confirmed to the user.
/// From then on none of its tasks may be started.
#[test]
fn a_start_that_waits_for_a_socket_is_not_sent_once_its_job_is_cancelled() {
    run_async_test(async {
        let limits = format!("\n[cluster.machine_limits]\nfd_limit = {SOCKET_LIMIT}\n");
        let site = Site::with_settings(Duration::from_secs(7200), |text| text + &limits).await;
        site.wait_for_leader().await;

        // The only machine in the zone `south` is for the job whose start will wait.
        site.cloud.boot("south", true).await;
        // One task fills a machine.
        let (filler_job, waiting_job) = (job_id(1), job_id(2));
        let mut job = site.job(1, FILLER_TASKS);
        job["cpus"] = 8.0.into();
        job["yard"] = "north".into();
        let (status, body) = site.submit(0, job).await;
        assert_eq!(status, 201, "{body}");
        site.wait_for_running_tasks(|n| n >= MIN_RUNNING).await;
        let idle_machines = site.cloud.idle_machines();
        let busy_machines: Vec<String> = site
            .cloud
            .machine_ids()
            .into_iter()
            .filter(|m| !idle_machines.contains(m))
            .collect();

        site.cloud.hang_machines(&busy_machines);
        assert_eq!(site.cancel(0, &filler_job).await.0, 200);
        wait_until("the sockets for commands are taken", || {
            site.cloud.hanging_commands() >= COMMAND_SOCKETS
        })
        .await;

        let mut job = site.job(2, 1);
        job["yard"] = "south".into();
        assert_eq!(site.submit(0, job).await.0, 201);
        wait_until("the task is placed", || site.state.log_contains(&waiting_job)).await;
        sleep(Duration::from_millis(200)).await;
        assert_eq!(site.cancel(0, &waiting_job).await.0, 200);
        let started_before = site.cloud.start_count(&waiting_job);

        // By then every waiting command has been sent or given up.
        sleep(Duration::from_secs(8)).await;
        let started = site.cloud.start_count(&waiting_job);
        assert_eq!(started, started_before, "a task of a cancelled job was started");
    });
}

/// A start that a scheduling round has decided and that is not sent yet.
struct DecidedStart {
    model: ClusterModel,
    machine: MachineId,
    task: TaskId,
    commands: CommandBatch,
    now: Instant,
}

impl DecidedStart {
    /// The machine that is to run the task.
    fn machine_mut(&mut self) -> &mut Machine {
        let machines = self.model.set_up().machines;
        machines.get_mut(&self.machine).expect("there")
    }

    fn new() -> Self {
        let now = support::start();
        let mut model = support::model(7);
        let machine = MachineId::from("i-1");
        model.apply_heartbeat(&support::heartbeat("i-1", "small", "north", false, 7, 1), now);
        let record = support::job_record(support::job(1, 1, 4.0));
        let job: JobId = record.spec.id;
        model.add_job(record, now);
        model.run_scheduling_round(now);
        let writes = model.take_due_writes(now);
        writes.iter().for_each(|w| model.write_finished(w, true, now));
        let commands = model.next_command_batch(&machine, now).expect("the start").batch;
        let task = TaskId { job, index: 0 };
        Self {
            model,
            machine,
            task,
            commands,
            now,
        }
    }

    fn refusal(&self) -> Option<SendRefusal> {
        let permit = self.model.permit_send(&self.machine, &self.commands, true);
        permit.err()
    }

    fn assert_refused(&self, refusal: StartRefusal) {
        assert_eq!(self.refusal(), Some(SendRefusal::Start(self.task, refusal)));
    }
}

#[test]
fn a_start_is_checked_against_the_present_state_when_it_is_sent() {
    let decided = DecidedStart::new();
    assert_eq!(decided.refusal(), None);
    let without_authority = decided
        .model
        .permit_send(&decided.machine, &decided.commands, false);
    assert_eq!(without_authority.err(), Some(SendRefusal::NoAuthority));
    assert_starts_of_ended_or_waiting_jobs_are_refused();
    assert_starts_of_unplaced_or_stopping_attempts_are_refused();
}

fn assert_starts_of_ended_or_waiting_jobs_are_refused() {
    let mut decided = DecidedStart::new();
    decided.model.cancel(decided.task.job, decided.now);
    decided.assert_refused(StartRefusal::JobCancelled);

    let mut decided = DecidedStart::new();
    decided.model.remove_job(decided.task.job);
    decided.assert_refused(StartRefusal::JobUnknown);

    // The dependency of the job is not done, so its start was decided by mistake.
    let mut decided = DecidedStart::new();
    let mut dependent = support::job(2, 1, 4.0);
    dependent.awaits = vec![decided.task.job];
    decided.task.job = dependent.id;
    decided.model.add_job(support::job_record(dependent), decided.now);
    let start = Command::Start {
        task: decided.task,
        attempt: 1,
    };
    decided.commands.commands = vec![start];
    decided.assert_refused(StartRefusal::DependenciesNotDone);
}

fn assert_starts_of_unplaced_or_stopping_attempts_are_refused() {
    let mut decided = DecidedStart::new();
    let grace = Duration::from_secs(5);
    decided
        .model
        .stop(&decided.machine, decided.task, grace, decided.now, "preempted");
    decided.assert_refused(StartRefusal::Stopping);

    let mut decided = DecidedStart::new();
    decided
        .model
        .remove_released_machine(&decided.machine, decided.now);
    decided.assert_refused(StartRefusal::NotPlaced);

    let mut decided = DecidedStart::new();
    decided.machine_mut().phase = MachinePhase::Releasing;
    decided.assert_refused(StartRefusal::NotPlaced);

    let mut decided = DecidedStart::new();
    let task = decided.task;
    decided
        .machine_mut()
        .slots
        .get_mut(&task)
        .expect("placed")
        .attempt += 1;
    decided.assert_refused(StartRefusal::NotPlaced);
}

#[test]
fn withheld_commands_are_due_again_at_once_with_a_new_token() {
    let mut decided = DecidedStart::new();
    assert!(decided
        .model
        .next_command_batch(&decided.machine, decided.now)
        .is_none());
    decided.model.batch_withheld(&decided.machine);
    let resent = decided
        .model
        .next_command_batch(&decided.machine, decided.now)
        .expect("the start again")
        .batch;
    assert!(
        resent.token > decided.commands.token,
        "the commands are sent again without a new token"
    );
    assert_eq!(resent.commands, decided.commands.commands);
}

//! The operations that a generated run consists of. A `usize` selects a job, a machine or
//! a message: it is taken modulo their number.

/// A step of a generated run.
#[derive(Debug, Clone)]
pub enum Operation {
    Submit {
        tasks: u32,
        cpus: u32,
        /// Whether the job belongs to the team `red`, which has a CPU limit.
        red_team: bool,
        /// Earlier jobs that it depends on.
        awaits: Vec<usize>,
    },
    Cancel(usize),
    /// All running tasks on a machine are done. Their open jobs are cancelled at that
    /// moment, before the leader hears of it.
    CancelAsTasksEnd(usize),
    /// The leader reads the stored outcome of a job that others depend on.
    ResolveDependency(usize),

    SendHeartbeat(usize),
    Deliver(usize),
    /// A copy of a message arrives before the message itself.
    Duplicate(usize),
    Lose(usize),
    /// A copy of a message is kept and may arrive much later, more than once.
    KeepCopy(usize),
    DeliverKeptCopy(usize),
    /// Copies of all batches of commands in flight are kept.
    KeepCopiesOfCommands,
    /// A heartbeat reaches the deposed leader, which a partition has left with the workers,
    /// and it responds.
    DeposedLeaderResponds(usize),
    /// Commands and responses to heartbeats stop reaching the first machines (`begins`), or
    /// reach them again. `machines` selects how many.
    Unreachable {
        machines: usize,
        begins: bool,
    },
    /// The same for commands only; responses to heartbeats still arrive.
    CommandsLost {
        machines: usize,
        begins: bool,
    },
    /// The same for heartbeats of the first machines.
    HeartbeatsLost {
        machines: usize,
        begins: bool,
    },

    /// The tasks on a machine advance to their next state; `outcome` selects it for those
    /// that run.
    AdvanceTasks {
        machine: usize,
        outcome: u8,
    },
    /// All tasks that fetch their image or run fail, on all machines.
    FailAllTasks,
    /// A worker's lease expires.
    ExpireLease(usize),
    MachineDies(usize),
    /// The cloud takes a machine back.
    Release(usize),
    /// A machine restarts at once, without tasks.
    Reboot {
        machine: usize,
        new_incarnation: bool,
    },

    Elect,
    /// This many leaders are elected one after the other, with a few deliveries of messages
    /// in between.
    ElectInSuccession(u8),
    /// Nobody leads for longer than a worker's lease; then a leader is elected.
    NoLeaderForALease,
    /// The leader's process is paused for this many seconds while all clocks run on.
    /// Messages to it and from it stay in flight.
    PauseLeader(u64),
    /// This many milliseconds pass.
    PassTime(u64),
}

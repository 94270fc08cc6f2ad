//! What a generated run consists of. Indices pick a job, a machine or a message modulo
//! their number.

/// A step of a generated run.
#[derive(Debug, Clone)]
pub enum Operation {
    Submit {
        tasks: u32,
        cpus: u32,
        red: bool,
        /// Which earlier jobs it waits for.
        awaits: Vec<usize>,
    },
    Cancel(usize),
    /// A job is cancelled at the very moment at which all tasks on a machine end,
    /// whatever the leader knows of that.
    CancelAsTasksEnd(usize),
    /// The leader reads how a job ended that others wait for.
    ResolveDependency(usize),

    SendHeartbeat(usize),
    Deliver(usize),
    /// A copy of a message arrives before the message itself.
    Duplicate(usize),
    Lose(usize),
    /// A copy of a message is kept back, to arrive much later.
    KeepCopy(usize),
    DeliverKeptCopy(usize),
    /// The deposed leader, partitioned with the workers, responds to a heartbeat.
    DeposedLeaderResponds(usize),
    /// Commands and responses don't reach the first machines, or do again.
    Unreachable {
        machines: usize,
        begins: bool,
    },
    /// Direct commands don't reach the first machines, or do again; responses do.
    CommandsLost {
        machines: usize,
        begins: bool,
    },
    /// Heartbeats of the first machines arrive nowhere, or do again.
    HeartbeatsLost {
        machines: usize,
        begins: bool,
    },

    /// The tasks on a machine go on to their next state; `outcome` picks which.
    AdvanceTasks {
        machine: usize,
        outcome: u8,
    },
    /// All tasks that fetch their image or run fail, everywhere.
    FailAllTasks,
    /// A worker's lease expires.
    ExpireLease(usize),
    MachineDies(usize),
    /// The cloud takes a machine back.
    Release(usize),
    /// The machine is back at once, without tasks.
    Reboot {
        machine: usize,
        new_incarnation: bool,
    },

    Elect,
    /// So many leaders follow on each other; some messages arrive between.
    ElectInSuccession(u8),
    /// Nobody leads for longer than a lease.
    NoLeaderForALease,
    /// The leader's process is paused for so many seconds while all clocks run on.
    /// Messages to it and from it stay in transit.
    PauseLeader(u64),
    /// So many milliseconds pass.
    PassTime(u64),
}

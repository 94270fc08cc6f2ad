//! What a generated run consists of.

/// A step of a generated run.
#[derive(Debug, Clone)]
pub enum Op {
    Submit {
        tasks: u32,
        cpus: u32,
        red: bool,
        /// Which earlier jobs it waits for.
        awaits: Vec<usize>,
    },
    /// The leader reads how a job ended that others wait for.
    Resolve(usize),
    Cancel(usize),
    Heartbeat(usize),
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    Run(usize, u8),
    Expire(usize),
    Die(usize),
    Release(usize),
    /// Commands and answers reach so many machines no more, or again.
    Unreachable(usize, bool),
    /// Direct commands reach so many machines no more, or again; answers do.
    HearsNoCommands(usize, bool),
    /// Reports of so many machines arrive nowhere, or again.
    Mute(usize, bool),
    /// A job is called off at the very moment at which all tasks on a machine
    /// end, whatever the leader knows of that.
    CancelAtEnd(usize),
    /// Whatever runs or fetches fails, everywhere.
    Fail,
    /// Leaders follow on each other, some messages between arrive.
    Chain(u8),
    /// All controllers are away for longer than a lease.
    Away,
    /// The machine is back at once, with nothing on it.
    Reboot(usize, bool),
    /// A copy of a message is kept back, to arrive much later.
    Copy(usize),
    Late(usize),
    /// The deposed leader, alone with the workers, answers a report.
    OldReport(usize),
    /// The leader stands still for so many seconds while all clocks run on.
    /// What was sent to it, and by it, is still on its way after.
    Freeze(u64),
    Elect,
    Wait(u64),
}

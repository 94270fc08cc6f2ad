/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReleaseReason {
    /// It was rented, but its worker sent no heartbeat within the boot timeout.
    BootTimeout,
    /// Attempts may be on it according to the log, but its worker sent no heartbeat within
    /// the boot timeout.
    NoHeartbeatSinceFound,
    /// Its heartbeats have stopped for longer than the silence limit.
    Silent,
    /// It sends heartbeats, but answers no commands.
    IgnoresCommands,
    /// It is cordoned as failed or faulty, and no task on it takes resources any more.
    Cordoned,
    /// The cloud reclaims it, and no task on it takes resources any more.
    SpotNotice,
    /// It is idle and not needed as warm capacity.
    Idle,
}

impl ReleaseReason {
    /// The text of the reason in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::BootTimeout => "no heartbeat within the boot timeout",
            Self::NoHeartbeatSinceFound => "no heartbeat since it was found in the log",
            Self::Silent => "silent",
            Self::IgnoresCommands => "ignores commands",
            Self::Cordoned => "cordoned as failed or faulty",
            Self::SpotNotice => "spot notice",
            Self::Idle => "idle",
        }
    }
}

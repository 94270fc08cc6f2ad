//! Why machines are released.

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReleaseReason {
    /// Rented, but its worker has not spoken in time.
    NeverCameUp,
    /// Something may be on it by the log, but its worker has not spoken in time.
    SilentSinceFound,
    /// Its heartbeats have stopped.
    Silent,
    /// Its heartbeats arrive, but it answers no commands.
    TakesNoCommands,
    /// It was cordoned, and is empty by now.
    Cordoned,
    /// The cloud reclaims it, and it is empty by now.
    SpotNotice,
    /// It is not needed.
    Idle,
}

impl ReleaseReason {
    /// The reason as it is logged.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::NeverCameUp => "never came up",
            Self::SilentSinceFound => "silent since it was found",
            Self::Silent => "silent",
            Self::TakesNoCommands => "takes no commands",
            Self::Cordoned => "failed or faulty",
            Self::SpotNotice => "spot notice",
            Self::Idle => "idle",
        }
    }
}

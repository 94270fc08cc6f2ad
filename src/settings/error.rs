//! Errors in the settings files, each with its file and, if the file can be read, its field.

use std::io;

/// Why the settings can't be used. The message is one line that names the file and the
/// field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Path of the file that could not be read.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file can't be parsed, or a field has a wrong type or value.
    #[error("{file}: field `{field}`: {reason}")]
    Field {
        /// Path of the file that contains the field.
        file: String,
        /// Dotted path of the field; `(file)` if the file can't be parsed at all.
        field: String,
        /// What is wrong with it.
        reason: InvalidValue,
    },
}

/// What is wrong with a field's value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// The parser's message: the syntax or the type is wrong.
    #[error("{0}")]
    Malformed(String),
    /// A name that must be given is empty.
    #[error("must not be empty")]
    Empty,
    /// A peer has no name or this controller's own.
    #[error("must name another controller")]
    NotAnotherController,
    /// A name is empty or occurs twice.
    #[error("must be present once")]
    NotUnique,
    /// The number is 0, negative or not finite.
    #[error("must be above 0")]
    NotPositive,
    /// The cancellation deadline doesn't exceed the workers' lease.
    #[error("must be above lease_s")]
    NotAboveLease,
    /// The number is below this minimum.
    #[error("must be at least {0}")]
    BelowMinimum(f64),
    /// The number is negative or not finite.
    #[error("must be 0 or more")]
    Negative,
    /// A quota or limit, of which 0 means none, is negative or not finite.
    #[error("must be 0 (none) or more")]
    NegativeAmount,
    /// A share is outside 0 to 1.
    #[error("must lie in 0 to 1")]
    NotAShare,
    /// The text is not a number in this range.
    #[error("must be a number from {min} to {max}")]
    NotInRange {
        /// Smallest value that is accepted.
        min: f64,
        /// Greatest value that is accepted.
        max: f64,
    },
    /// No property has this key.
    #[error("is not a known key")]
    UnknownKey,
}

/// An error in a field, before the name of its file is added.
#[derive(Debug)]
pub(super) struct FieldError {
    field: String,
    reason: InvalidValue,
}

impl FieldError {
    /// An error in the field with this dotted path.
    pub(super) fn new(field: impl Into<String>, reason: InvalidValue) -> Self {
        Self {
            field: field.into(),
            reason,
        }
    }

    /// An error in a field that the parser rejected, with the first line of its message.
    pub(super) fn malformed(field: impl Into<String>, message: &str) -> Self {
        let first_line = message.lines().next().unwrap_or_default();
        Self::new(field, InvalidValue::Malformed(first_line.to_owned()))
    }

    /// An error in a file that can't be parsed at all.
    pub(super) fn whole_file(message: &str) -> Self {
        Self::malformed("(file)", message)
    }

    /// The same error with the name of its file.
    pub(super) fn in_file(self, file: &str) -> SettingsError {
        SettingsError::Field {
            file: file.to_owned(),
            field: self.field,
            reason: self.reason,
        }
    }
}

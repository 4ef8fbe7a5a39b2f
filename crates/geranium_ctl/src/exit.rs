//! Exit codes of the tool.

use std::process::ExitCode;

use geranium_settings::EXIT_INVALID_SETTINGS;

use crate::ctl_error::CtlError;

/// Outcome of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed.
    Failed,
    /// Arguments or settings are invalid.
    Usage,
    /// A concurrent change of the record was written first.
    LostRace,
    /// A record is invalid.
    InvalidRecord,
    /// The record was accepted but was not in force on all entry hosts before the timeout.
    NotInForce,
    /// The record, group, host or request does not exist.
    NotFound,
    /// The document differs from the record in force.
    Different,
}

impl Exit {
    const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => EXIT_INVALID_SETTINGS,
            Self::LostRace => 3,
            Self::InvalidRecord => 4,
            Self::NotInForce => 5,
            Self::NotFound => 6,
            Self::Different => 7,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

impl From<&CtlError> for Exit {
    fn from(e: &CtlError) -> Self {
        match e {
            CtlError::Settings(_) | CtlError::Usage(_) => Self::Usage,
            CtlError::Operator(e) if is_status(e, 404) => Self::NotFound,
            CtlError::Operator(e) if is_status(e, 422) => Self::InvalidRecord,
            CtlError::Document(..) => Self::InvalidRecord,
            _ => Self::Failed,
        }
    }
}

fn is_status(e: &geranium_operator::OperatorError, status: u16) -> bool {
    matches!(e, geranium_operator::OperatorError::Refused(_, e) if e.status.as_u16() == status)
}

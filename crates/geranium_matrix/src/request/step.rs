//! Steps of a request.

use std::fmt;

/// A step of a request, at which the faults strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestStep {
    /// The request is about to be admitted.
    Admission,
    /// The claim is being written.
    Claim,
    /// The call is on its way to the service.
    Dispatch,
    /// The model works on the first token.
    FirstToken,
    /// Some tokens were passed on.
    MidStream,
    /// Every token was passed on, the end was not.
    End,
    /// The answer is being recorded.
    AnswerKept,
    /// The caller sends the key again to another entry host.
    Resend,
    /// The request is refused for lack of budget.
    Refusal,
    /// The entry host stops on purpose while it works on the request.
    Shutdown,
}

impl RequestStep {
    /// Every step.
    pub const ALL: &'static [Self] = &[
        Self::Admission,
        Self::Claim,
        Self::Dispatch,
        Self::FirstToken,
        Self::MidStream,
        Self::End,
        Self::AnswerKept,
        Self::Resend,
        Self::Refusal,
        Self::Shutdown,
    ];

    /// Returns the name of the column.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Admission => "request-admission",
            Self::Claim => "request-claim",
            Self::Dispatch => "request-dispatch",
            Self::FirstToken => "request-first-token",
            Self::MidStream => "request-mid-stream",
            Self::End => "request-end",
            Self::AnswerKept => "request-answer-kept",
            Self::Resend => "request-resend",
            Self::Refusal => "request-refusal",
            Self::Shutdown => "request-shutdown",
        }
    }

    /// Returns whether a claimed call passes through the step.
    #[must_use]
    pub const fn has_claim(self) -> bool {
        !matches!(self, Self::FirstToken | Self::MidStream | Self::End)
    }

    /// Returns whether a stream passes through the step.
    #[must_use]
    pub const fn has_stream(self) -> bool {
        matches!(
            self,
            Self::Admission | Self::FirstToken | Self::MidStream | Self::End | Self::Shutdown
        )
    }
}

impl fmt::Display for RequestStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

//! Promises that a run broke.

use std::fmt;

use geranium_core::stream::StreamError;

/// A promise that a run broke; numbers name requests in the order of their sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestViolation {
    /// The service ran a call more than once.
    RanTwice(u32),
    /// A request that was refused as not run has run.
    NotRunRan(usize),
    /// A request got an answer that the service didn't give.
    WrongAnswer(usize),
    /// A request got no answer, although its entry host lived.
    NoAnswer(usize),
    /// A request got more than one answer.
    AnsweredTwice(usize),
    /// A refusal names no time to come back.
    NoRetryAfter(usize),
    /// A resend long after the faults still finds the call in progress.
    StuckInProgress,
    /// A planned stop cut off a request.
    CutOffByShutdown,
    /// A stream delivered tokens that are not those of the answer.
    WrongTokens(String),
    /// A stream ended as whole, but isn't.
    LooksWhole(usize),
    /// A stream failed although another group could have gone on.
    StreamFailed(StreamError),
    /// A stream came to neither an end nor an error.
    NeverEnded,
    /// A request took down more groups than it may.
    TooManyCrashes(usize),
}

impl fmt::Display for RequestViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RanTwice(runs) => write!(f, "the call ran {runs} times"),
            Self::NotRunRan(n) => write!(f, "request {n} was refused as not run, but ran"),
            Self::WrongAnswer(n) => write!(f, "request {n} got a foreign answer"),
            Self::NoAnswer(n) => write!(f, "request {n} got no answer"),
            Self::AnsweredTwice(n) => write!(f, "request {n} was answered twice"),
            Self::NoRetryAfter(n) => write!(f, "request {n} got no time to come back"),
            Self::StuckInProgress => write!(f, "the call stays in progress for ever"),
            Self::CutOffByShutdown => write!(f, "a planned stop cut off the request"),
            Self::WrongTokens(text) => write!(f, "the stream delivered {text:?}"),
            Self::LooksWhole(tokens) => write!(f, "a stream of {tokens} tokens looks whole"),
            Self::StreamFailed(error) => write!(f, "the stream failed: {error}"),
            Self::NeverEnded => write!(f, "the stream never ended"),
            Self::TooManyCrashes(groups) => write!(f, "the request took down {groups} groups"),
        }
    }
}

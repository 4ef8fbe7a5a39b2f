//! Steps of the claim model.

use std::fmt;

/// One step of one part of the claim model; numbers name requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Time passes.
    TimePasses,
    /// The store stops answering.
    OutageBegins,
    /// The store answers again.
    OutageEnds,
    /// A caller sends the key.
    Submit(u8),
    /// A process looks at its clock.
    Wake(u8),
    /// A write takes effect or loses, and its answer arrives.
    WriteAnswered(u8),
    /// A write takes effect or loses, and its answer is lost.
    WriteAnswerLost(u8),
    /// A write is given up while it is still on its way.
    WriteDelayed(u8),
    /// A write can't reach the store.
    WriteUnreachable(u8),
    /// A write that was given up arrives.
    StrayWriteArrives,
    /// A read is answered.
    ReadAnswered(u8),
    /// A read fails.
    ReadFails(u8),
    /// The membership says that the holder lives.
    HolderLive(u8),
    /// The membership says that the holder is gone.
    HolderGone(u8),
    /// The call is sent to the service.
    Send(u8),
    /// The call is too late to be sent.
    TooLateToSend(u8),
    /// No connection to the service is made.
    ConnectionRefused(u8),
    /// The service runs the call.
    Run(u8),
    /// The service's answer arrives.
    AnswerArrives(u8),
    /// The connection to the service breaks.
    ConnectionBreaks(u8),
    /// A call whose connection broke reaches the service.
    StrayCallRuns(u8),
    /// An expired claim is deleted.
    Sweep,
    /// A process ends.
    ProcessEnds(u8),
}

impl fmt::Display for ClaimAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        use ClaimAction as A;
        match self {
            A::TimePasses => write!(f, "one tick passes"),
            A::OutageBegins => write!(f, "the store stops answering"),
            A::OutageEnds => write!(f, "the store answers again"),
            A::Submit(n) => write!(f, "request {n} is submitted"),
            A::Wake(n) => write!(f, "request {n}: its process looks at the clock"),
            A::WriteAnswered(n) => write!(f, "request {n}: the store answers its write"),
            A::WriteAnswerLost(n) => write!(f, "request {n}: the answer to its write is lost"),
            A::WriteDelayed(n) => write!(f, "request {n}: its write is delayed past the timeout"),
            A::WriteUnreachable(n) => write!(f, "request {n}: its write can't reach the store"),
            A::StrayWriteArrives => write!(f, "a delayed write arrives at the store"),
            A::ReadAnswered(n) => write!(f, "request {n}: the store answers its read"),
            A::ReadFails(n) => write!(f, "request {n}: its read fails"),
            A::HolderLive(n) => write!(f, "request {n}: the holder is said to live"),
            A::HolderGone(n) => write!(f, "request {n}: the holder is said to be gone"),
            A::Send(n) => write!(f, "request {n}: the call is sent to the service"),
            A::TooLateToSend(n) => write!(f, "request {n}: too late to send the call"),
            A::ConnectionRefused(n) => write!(f, "request {n}: no connection to the service"),
            A::Run(n) => write!(f, "request {n}: the service runs the call"),
            A::AnswerArrives(n) => write!(f, "request {n}: the service's answer arrives"),
            A::ConnectionBreaks(n) => write!(f, "request {n}: the connection breaks"),
            A::StrayCallRuns(n) => write!(f, "request {n}: its delayed call runs"),
            A::Sweep => write!(f, "the expired claim is deleted"),
            A::ProcessEnds(n) => write!(f, "process {n} ends"),
        }
    }
}

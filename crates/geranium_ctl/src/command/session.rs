//! State that the commands share.

use std::future::Future;
use std::net::SocketAddr;

use geranium_operator::{OperatorClient, OperatorError};

use crate::cli::Invocation;
use crate::ctl_error::CtlError;

/// Client and settings of one invocation.
pub struct Session<'a> {
    /// Parsed command line.
    pub invocation: &'a Invocation,
    /// Client of the operator interface.
    pub client: OperatorClient,
}

impl<'a> Session<'a> {
    /// Creates a session with a client that uses the operator token of the invocation.
    pub fn new(invocation: &'a Invocation) -> Self {
        Self {
            invocation,
            client: OperatorClient::new(invocation.token.clone()),
        }
    }

    /// Calls the entry hosts in order until one can be reached.
    ///
    /// A call that an entry host may have received is not repeated on another one.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry host could be reached or the call failed.
    pub async fn call_first_reachable<T, F>(
        &self,
        call: impl Fn(SocketAddr) -> F,
    ) -> Result<T, CtlError>
    where
        F: Future<Output = Result<T, OperatorError>>,
    {
        let mut tried = Vec::new();
        for &host in &self.invocation.hosts {
            match call(host).await {
                Err(OperatorError::Call(e)) if e.is_not_sent() => tried.push(e.to_string()),
                outcome => return outcome.map_err(CtlError::from),
            }
        }
        Err(CtlError::NoHost(tried.join("; ")))
    }
}

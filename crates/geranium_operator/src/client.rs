//! Client of the operator interface.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_net::{ApiError, ClientConfig, HttpClient, HttpRequest};
use geranium_telemetry::EventPage;
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    ApplyAnswer, ApplyRequest, Explanation, HistoryEntry, InForceView, OperatorError, RecordPage,
    RecordView, StatusView, ValidateAnswer,
};

/// Timeout of one operator call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the operator interface of entry hosts.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: HttpClient,
    token: String,
}

impl OperatorClient {
    /// Creates a client that authenticates with an operator token.
    pub fn new(token: impl Into<String>) -> Self {
        let cfg = ClientConfig {
            max_body: 64 << 20,
            ..ClientConfig::default()
        };
        Self {
            http: HttpClient::new(&cfg),
            token: token.into(),
        }
    }

    /// Lists records of one kind, or all records if `kind` is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected.
    pub async fn list(&self, host: SocketAddr, kind: &str) -> Result<RecordPage, OperatorError> {
        self.get(host, format!("/v1/records?kind={kind}")).await
    }

    /// Reads a record as it is in force on the entry host.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected.
    pub async fn record(
        &self,
        host: SocketAddr,
        kind: &str,
        name: &str,
    ) -> Result<RecordView, OperatorError> {
        self.get(host, format!("/v1/records/{kind}/{name}")).await
    }

    /// Reads the history of a record, newest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected.
    pub async fn history(
        &self,
        host: SocketAddr,
        kind: &str,
        name: &str,
    ) -> Result<Vec<HistoryEntry>, OperatorError> {
        self.get(host, format!("/v1/history/{kind}/{name}")).await
    }

    /// Writes or deletes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected. A lost race is not an
    /// error but an [`ApplyAnswer`].
    pub async fn apply(
        &self,
        host: SocketAddr,
        kind: &str,
        name: &str,
        req: &ApplyRequest,
    ) -> Result<ApplyAnswer, OperatorError> {
        self.call(
            host,
            Method::PUT,
            format!("/v1/records/{kind}/{name}"),
            Some(req),
        )
        .await
    }

    /// Validates a document against the records in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected. Faults in the document
    /// are not an error but part of the [`ValidateAnswer`].
    pub async fn validate(
        &self,
        host: SocketAddr,
        document: &serde_json::Value,
    ) -> Result<ValidateAnswer, OperatorError> {
        self.call(
            host,
            Method::POST,
            "/v1/validate".to_owned(),
            Some(document),
        )
        .await
    }

    /// Returns for each entry host whether a generation of a record is in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected.
    pub async fn in_force(
        &self,
        host: SocketAddr,
        kind: &str,
        name: &str,
        generation: u64,
    ) -> Result<Vec<InForceView>, OperatorError> {
        self.get(
            host,
            format!("/v1/in-force/{kind}/{name}?generation={generation}"),
        )
        .await
    }

    /// Reads the status of the entry host's failure domain.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected.
    pub async fn status(&self, host: SocketAddr) -> Result<StatusView, OperatorError> {
        self.get(host, "/v1/status".to_owned()).await
    }

    /// Reads the events that match the URL query string `query`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected.
    pub async fn events(&self, host: SocketAddr, query: &str) -> Result<EventPage, OperatorError> {
        self.get(host, format!("/v1/events?{query}")).await
    }

    /// Explains a request, group, host or record.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was rejected.
    pub async fn explain(
        &self,
        host: SocketAddr,
        kind: &str,
        id: &str,
    ) -> Result<Explanation, OperatorError> {
        self.get(host, format!("/v1/explain/{kind}/{id}")).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: String,
    ) -> Result<T, OperatorError> {
        self.call(host, Method::GET, path, None::<&()>).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        method: Method,
        path: String,
        body: Option<&impl Serialize>,
    ) -> Result<T, OperatorError> {
        let bearer = format!("Bearer {}", self.token);
        let mut req = HttpRequest::new(host, method, path).header_text("authorization", &bearer)?;
        if let Some(body) = body {
            req = req.json(body)?;
        }
        let (status, body) = self.http.send_buffered(req, CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(match ApiError::parse(status, &body) {
                Some(e) => OperatorError::Refused(host, Box::new(e)),
                None => OperatorError::Status(host, status.as_u16()),
            });
        }
        let value = serde_json::from_slice(&body)
            .map_err(|e| geranium_net::ClientError::Malformed(host, e.to_string()))?;
        Ok(value)
    }
}

//! A small system: stand-ins in this process, entry hosts as processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::engine::{HostEntry, HostState};
use geranium_core::id::{FabricDomainId, FailureDomainId, HostId};
use geranium_core::record::hash_key;
use geranium_engine::ChatRequest;
use geranium_net::{ClientConfig, ClientError, HttpClient, HttpRequest};
use geranium_operator::{ApplyAnswer, ApplyRequest, OperatorClient, OperatorError, StatusView};
use hyper::StatusCode;
use serde_json::{Value, json};

use super::entry::{Entry, EntryAddresses, OPERATOR_TOKEN};
use super::wait::until;
use crate::{
    EngineConfig, FakeEngine, FakePlatform, FakeService, PlatformConfig, ServiceConfig,
    expected_text,
};

/// Key of the client account `desk`.
pub const DESK_KEY: &str = "desk-key-of-the-system-tests";

/// Name of the weights that engines load.
pub const WEIGHTS: &str = "summary-7b";

/// Version of the weights that engines load.
pub const VERSION: &str = "3";

/// Longest time for one call of a test.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// What a failure domain consists of.
#[derive(Clone, Copy, Debug)]
pub struct DomainSize {
    /// Name of the failure domain.
    pub name: &'static str,
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Number of engines.
    pub engines: usize,
}

impl DomainSize {
    /// Makes the size of a failure domain.
    #[must_use]
    pub const fn new(name: &'static str, entry_hosts: usize, engines: usize) -> Self {
        Self {
            name,
            entry_hosts,
            engines,
        }
    }
}

/// A small system.
pub struct System {
    /// The platform's service.
    pub platform: FakePlatform,
    /// The plain service.
    pub service: FakeService,
    /// The engines; `None` for one that was stopped.
    pub engines: Vec<Option<FakeEngine>>,
    /// The entry hosts.
    pub entries: Vec<Entry>,
    /// Client of the operator interface.
    pub operator: OperatorClient,
    /// Client of the caller interface.
    pub http: HttpClient,
    geraniumd: PathBuf,
}

impl System {
    /// Starts a system without records; `tune` adjusts each engine.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn start(
        geraniumd: impl Into<PathBuf>,
        domains: &[DomainSize],
        tune: impl Fn(&mut EngineConfig),
    ) -> Self {
        let platform = FakePlatform::start(PlatformConfig::default())
            .await
            .expect("platform");
        let service = FakeService::start(ServiceConfig::default())
            .await
            .expect("service");
        let mut engines = Vec::new();
        for domain in domains {
            for i in 0..domain.engines {
                let host = format!("{}-h{i}", domain.name);
                let mut cfg = EngineConfig::new(HostId::new(&host));
                tune(&mut cfg);
                let engine = FakeEngine::start(cfg).await.expect("engine");
                list_host(&platform, &host, domain.name, engine.address());
                engines.push(Some(engine));
            }
        }
        let mut system = Self {
            platform,
            service,
            engines,
            entries: Vec::new(),
            operator: OperatorClient::new(OPERATOR_TOKEN),
            http: HttpClient::new(&ClientConfig::default()),
            geraniumd: geraniumd.into(),
        };
        system.start_entries(domains);
        system.wait_for_entries().await;
        system
    }

    /// Returns an entry host by position.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub fn entry(&self, position: usize) -> &EntryAddresses {
        &self.entries[position].at
    }

    /// Returns an engine by position.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub fn engine(&self, position: usize) -> &FakeEngine {
        self.engines[position].as_ref().expect("the engine runs")
    }

    /// Returns the position of the engine that runs on a host.
    ///
    /// # Panics
    ///
    /// Panics if no engine runs there.
    #[must_use]
    pub fn engine_on(&self, host: &HostId) -> usize {
        let runs_there = |engine: &FakeEngine| engine.host() == host;
        let found = self
            .engines
            .iter()
            .position(|e| e.as_ref().is_some_and(runs_there));
        found.expect("an engine runs on the host")
    }

    /// Returns the position of the engine that serves as rank 0 of a group.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub fn head_of(&self, group: &str) -> usize {
        let leads = |engine: &FakeEngine| {
            let assignment = engine.report().assignment;
            assignment.is_some_and(|a| a.group.as_str() == group && a.rank == 0)
        };
        let found = self
            .engines
            .iter()
            .position(|e| e.as_ref().is_some_and(leads));
        found.expect("an engine leads the group")
    }

    /// Writes a record through an entry host.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was refused.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn apply_at(
        &self,
        entry: usize,
        document: &Value,
        operator: &str,
        expected_generation: Option<u64>,
    ) -> Result<ApplyAnswer, OperatorError> {
        let field = |name: &str| document[name].as_str().expect("text").to_owned();
        let req = ApplyRequest {
            document: document.clone(),
            expected_generation,
            operator: operator.to_owned(),
        };
        let at = self.entry(entry).operator;
        self.operator
            .apply(at, &field("kind"), &field("name"), &req)
            .await
    }

    /// Writes a record through the first entry host.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn apply(&self, document: &Value) {
        self.apply_at(0, document, "test", None)
            .await
            .expect("accepted");
    }

    /// Writes the account `desk` and a model with replicas in each domain.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn apply_model(&self, placements: &[(&str, u32)], hosts_per_replica: u32) {
        self.apply(&account()).await;
        self.apply(&model(placements, hosts_per_replica)).await;
    }

    /// Waits until a number of groups serve in a failure domain, as each of its
    /// entry hosts sees it.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn wait_serving(&self, failure_domain: &str, groups: usize) {
        for entry in self
            .entries
            .iter()
            .filter(|e| e.at.failure_domain == failure_domain)
        {
            let at = entry.at.operator;
            until(
                &format!("{groups} groups on {}", entry.at.host),
                || async move {
                    let status = self.operator.status(at).await.ok()?;
                    (open_groups(&status).len() == groups).then_some(())
                },
            )
            .await;
        }
    }

    /// Returns the status of an entry host.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn status(&self, entry: usize) -> StatusView {
        self.operator
            .status(self.entry(entry).operator)
            .await
            .expect("status")
    }

    /// Sends a whole chat completion.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was refused.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn chat(
        &self,
        entry: usize,
        prompt: &str,
        tokens: u32,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let mut chat = ChatRequest::user("summary", prompt);
        chat.stream = false;
        chat.max_tokens = tokens;
        self.http
            .send_buffered(self.chat_request(entry, &chat), CALL_TIMEOUT)
            .await
    }

    /// Sends whole chat completions until one is answered.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn chat_until_ok(&self, entry: usize, prompt: &str, tokens: u32) -> String {
        until("an answered completion", || async {
            let (status, body) = self.chat(entry, prompt, tokens).await.ok()?;
            (status == StatusCode::OK).then(|| content(&body))
        })
        .await
    }

    /// Sends requests one at a time until every serving group is warm.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn warm_up(&self, entry: usize) {
        until("warm groups", || async {
            let _ = self.chat(entry, "warm up", 2).await;
            let warm = |e: &FakeEngine| {
                let report = e.report();
                let head = report.assignment.as_ref().is_some_and(|a| a.rank == 0);
                !head || report.phase == geranium_core::engine::EnginePhase::Warm
            };
            self.engines.iter().flatten().all(warm).then_some(())
        })
        .await;
    }

    /// Makes the request of a chat completion.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub fn chat_request(&self, entry: usize, chat: &ChatRequest) -> HttpRequest {
        HttpRequest::post(self.entry(entry).caller, "/v1/chat/completions")
            .header_text("authorization", &format!("Bearer {DESK_KEY}"))
            .and_then(|req| req.json(chat))
            .expect("a valid request")
    }

    /// Makes the request of a ban, which must not repeat.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub fn ban_request(&self, entry: usize, key: &str, body: &str) -> HttpRequest {
        HttpRequest::post(self.entry(entry).caller, "/v1/services/sanctions/bans")
            .header_text("authorization", &format!("Bearer {DESK_KEY}"))
            .and_then(|req| req.header_text("idempotency-key", key))
            .expect("a valid request")
            .body(Bytes::from(body.to_owned()))
    }

    /// Sends a ban, which must not repeat.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was refused.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn ban(&self, entry: usize, key: &str) -> Result<(StatusCode, Value), ClientError> {
        let req = self.ban_request(entry, key, "{\"reader\":\"r1\"}");
        self.http.send_json(req, CALL_TIMEOUT).await
    }

    /// Writes the service `sanctions` and waits until every entry host knows it.
    ///
    /// # Panics
    ///
    /// Panics if the system is not as the caller takes it to be.
    pub async fn apply_service(&self) {
        self.apply(&account()).await;
        let document = json!({
            "schema_version": 2, "kind": "service", "name": "sanctions",
            "endpoints": [{
                "host": "svc-1", "failure_domain": "lima-1",
                "address": self.service.address().to_string(),
            }],
            "routes": [
                {"method": "POST", "path": "/bans", "idempotent": false},
                {"method": "GET", "path": "/bans/*", "idempotent": true},
            ],
            "accounts": ["desk"],
        });
        self.apply(&document).await;
        for entry in &self.entries {
            let at = entry.at.operator;
            until("the service on every host", || async move {
                self.operator.record(at, "service", "sanctions").await.ok()
            })
            .await;
        }
    }

    fn start_entries(&mut self, domains: &[DomainSize]) {
        let mut addresses = Vec::new();
        for domain in domains {
            for i in 0..domain.entry_hosts {
                let host = format!("{}-e{i}", domain.name);
                addresses.push(EntryAddresses::choose(&host, domain.name));
            }
        }
        let peers: Vec<SocketAddr> = addresses.iter().map(|at| at.peer).collect();
        let platform = self.platform.address();
        let geraniumd = &self.geraniumd;
        let start = |at| Entry::start(geraniumd, at, platform, &peers);
        self.entries = addresses.into_iter().map(start).collect();
    }

    async fn wait_for_entries(&self) {
        for entry in &self.entries {
            let at = entry.at.operator;
            until(&format!("entry host {}", entry.at.host), || async move {
                self.operator.status(at).await.ok()
            })
            .await;
        }
    }
}

/// Returns the groups that take requests.
///
/// # Panics
///
/// Panics if the system is not as the caller takes it to be.
pub fn open_groups(status: &StatusView) -> Vec<String> {
    let open = status.groups.iter().filter(|group| group.open);
    open.map(|group| group.group.to_string()).collect()
}

/// Returns the text of a whole answer.
///
/// # Panics
///
/// Panics if the system is not as the caller takes it to be.
pub fn content(body: &Bytes) -> String {
    let value: Value = serde_json::from_slice(body).expect("JSON");
    let content = value["choices"][0]["message"]["content"].as_str();
    content.expect("a message").to_owned()
}

/// Returns the text that a prompt must give.
///
/// # Panics
///
/// Panics if the system is not as the caller takes it to be.
pub fn expected(prompt: &str, tokens: u32) -> String {
    let prompt = ChatRequest::user("summary", prompt).prompt();
    expected_text(WEIGHTS, VERSION, &prompt, tokens)
}

/// Returns the record of the account `desk`.
///
/// # Panics
///
/// Panics if the system is not as the caller takes it to be.
pub fn account() -> Value {
    json!({
        "schema_version": 2, "kind": "account", "name": "desk",
        "key_sha256": [hash_key(DESK_KEY)], "max_concurrent": 256, "priority": 5,
    })
}

/// Returns a model record.
///
/// # Panics
///
/// Panics if the system is not as the caller takes it to be.
pub fn model(placements: &[(&str, u32)], hosts_per_replica: u32) -> Value {
    let placements: Vec<Value> = placements
        .iter()
        .map(|(domain, replicas)| json!({"failure_domain": domain, "replicas": replicas}))
        .collect();
    json!({
        "schema_version": 2, "kind": "model", "name": "summary", "served_model": "summary",
        "weights": WEIGHTS, "version": VERSION, "adapters": [],
        "hosts_per_replica": hosts_per_replica, "placements": placements,
        "accounts": [{"account": "desk", "weight": 1}],
        "cold_concurrency": 2, "warm_concurrency": 32,
    })
}

fn list_host(platform: &FakePlatform, host: &str, failure_domain: &str, address: SocketAddr) {
    let entry = HostEntry {
        host: HostId::new(host),
        failure_domain: FailureDomainId::new(failure_domain),
        fabric_domain: FabricDomainId::new(format!("{failure_domain}-f0")),
        address,
        accelerators: 8,
        checks_fencing: true,
        state: HostState::Live,
    };
    let value = serde_json::to_vec(&entry).expect("JSON");
    platform.put(&format!("/platform/hosts/{host}"), value);
}

//! Detects whether an engine of a group crashed.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use geranium_core::id::{HostId, Incarnation};
use geranium_core::route::{RouteChoice, RoutePath};
use geranium_engine::EngineApi;

use crate::node::Node;

/// Timeout for the report of a member.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Members of a group and their incarnations at the time a request was sent to it.
///
/// A request is blamed only for the crash of an engine whose host still answers. A
/// host that is silent, partitioned or drained is no evidence against the request.
pub struct CrashDetector {
    members: Vec<(HostId, SocketAddr, Incarnation)>,
}

impl CrashDetector {
    /// Captures the members of a group that this entry host reaches directly.
    #[must_use]
    pub fn new(node: &Node, choice: &RouteChoice) -> Option<Self> {
        if choice.path != RoutePath::Direct {
            return None;
        }
        let view = node.published.view();
        let group = view.group(&choice.group)?;
        let members = group.members.iter().filter_map(|member| {
            let incarnation = view.reports.get(&member.host)?.report.incarnation;
            Some((member.host.clone(), member.address, incarnation))
        });
        Some(Self {
            members: members.collect(),
        })
    }

    /// Returns whether a member now reports a different incarnation.
    pub async fn engine_crashed(&self, node: &Node) -> bool {
        let crash_checks = self
            .members
            .iter()
            .map(|(host, address, incarnation)| async move {
                let report =
                    tokio::time::timeout(REPORT_TIMEOUT, node.engines.report(*address)).await;
                let report = report.ok()?.ok()?;
                Some(report.host == *host && report.incarnation != *incarnation)
            });
        join_all(crash_checks).await.contains(&Some(true))
    }
}

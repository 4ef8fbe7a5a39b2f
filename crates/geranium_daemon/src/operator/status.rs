//! Endpoints that return the state of the failure domain and the metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use geranium_core::group::{GroupState, ReplicaGroup};
use geranium_core::id::{FailureDomainId, GroupId};
use geranium_core::record::ModelSpec;
use geranium_core::time::Timestamp;
use geranium_operator::{AcceleratorView, GroupView, MemberView, ModelView, StatusView, StoreView};
use hyper::StatusCode;
use viz::{Request, Response, Result};

use super::reply::{json, with_content_type};
use crate::control::ControlView;
use crate::node::{Node, millis_between};

/// Returns the state of the failure domain as this process sees it.
pub async fn status(node: Arc<Node>, _req: Request) -> Result<Response> {
    let now = node.clock.now();
    let view = node.published.view();
    let models = models(&node, &view);
    let needs_person = needs_person(&node.settings.failure_domain, &view, &models);
    let calls = node.store_calls();
    Ok(json(&StatusView {
        process: node.recorder.identity().clone(),
        leading: view.is_leader,
        ready: node.is_ready(),
        records: view.records.len(),
        store: StoreView {
            reachable: view.store_reachable,
            calls: calls.0,
            failures: calls.1,
        },
        hosts: node.host_views().await,
        models,
        groups: groups(now, &view),
        accelerators: accelerators(&node, &view),
        needs_person,
    })?)
}

/// Returns the metrics in the text exposition format.
pub async fn metrics(node: Arc<Node>, _req: Request) -> Result<Response> {
    node.refresh_metrics();
    let text = node.metrics.render();
    Ok(with_content_type(
        StatusCode::OK,
        "text/plain; version=0.0.4",
        Bytes::from(text),
    ))
}

fn models(node: &Node, view: &ControlView) -> Vec<ModelView> {
    let domain = &node.settings.failure_domain;
    let mut models = Vec::new();
    for spec in view.records.models() {
        let wanted = spec.replicas_in(domain);
        let serving = view.serving_replicas(&spec.name);
        if wanted > 0 || serving > 0 {
            models.push(ModelView {
                record: spec.name.clone(),
                served_model: spec.served_model.clone(),
                version: spec.version.clone(),
                failure_domain: domain.clone(),
                wanted,
                serving,
                missing: (serving < wanted).then(|| missing_reason(domain, view, spec)),
            });
        }
    }
    models
}

fn missing_reason(domain: &FailureDomainId, view: &ControlView, spec: &ModelSpec) -> String {
    if view.records.drained().failure_domains.contains(domain) {
        return "the failure domain is out of service by a drain record".to_owned();
    }
    let Some(table) = &view.table else {
        return "the group table is not known yet".to_owned();
    };
    let groups = table
        .groups()
        .iter()
        .filter(|(_, group)| group.record == spec.name);
    let reasons: Vec<String> = groups
        .filter_map(|(id, _)| Some(format!("{id}: {}", view.closed_reasons.get(id)?)))
        .collect();
    if reasons.is_empty() {
        return "no group is formed yet: the leader waits for free hosts or for the store"
            .to_owned();
    }
    reasons.join("; ")
}

fn groups(now: Timestamp, view: &ControlView) -> Vec<GroupView> {
    let Some(table) = &view.table else {
        return Vec::new();
    };
    table
        .groups()
        .iter()
        .map(|(id, group)| group_view(now, view, id, group))
        .collect()
}

fn group_view(now: Timestamp, view: &ControlView, id: &GroupId, group: &ReplicaGroup) -> GroupView {
    let members = group.members.iter().map(|member| {
        let seen = view.reports.get(&member.host);
        MemberView {
            host: member.host.clone(),
            phase: seen.map(|seen| seen.report.phase),
            heard_ms_ago: seen.map(|seen| millis_between(seen.requested_at, now)),
        }
    });
    GroupView {
        group: id.clone(),
        record: group.record.clone(),
        fabric_domain: group.fabric_domain.clone(),
        fencing: group.fencing,
        open: view.is_open(id),
        closed_because: view.closed_reasons.get(id).cloned(),
        members: members.collect(),
    }
}

/// Counts the accelerators of the failure domain: all, those of groups that accept requests,
/// and the others by reason.
pub fn accelerators(node: &Node, view: &ControlView) -> AcceleratorView {
    let mut total = 0;
    let mut serving = 0;
    let mut stranded = BTreeMap::new();
    let hosts = view.hosts.iter();
    for host in hosts.filter(|h| h.failure_domain == node.settings.failure_domain) {
        total += host.accelerators;
        let group = view
            .table
            .as_ref()
            .and_then(|table| table.group_of(&host.host));
        let reason = match group {
            Some((id, _)) if view.is_open(id) => {
                serving += host.accelerators;
                continue;
            }
            Some((_, group)) if group.state == GroupState::Forming => "forming",
            Some((_, group)) if group.state == GroupState::Dissolving => "dissolving",
            Some(_) => "group_closed",
            None => "spare",
        };
        *stranded.entry(reason.to_owned()).or_default() += host.accelerators;
    }
    AcceleratorView {
        total,
        serving,
        stranded,
    }
}

/// Lists problems that the system cannot repair by itself: records that this host cannot
/// read, and models for which there are no hosts.
fn needs_person(domain: &FailureDomainId, view: &ControlView, models: &[ModelView]) -> Vec<String> {
    let mut needs = Vec::new();
    for entry in view.records.iter() {
        if let Some(e) = &entry.unreadable {
            needs.push(format!(
                "record {} is not understood: {e}",
                entry.stored.key
            ));
        }
    }
    if view.records.drained().failure_domains.contains(domain) {
        return needs;
    }
    let has_group = |model: &ModelView| {
        let groups = view.table.iter().flat_map(|table| table.groups().values());
        groups.into_iter().any(|group| group.record == model.record)
    };
    let unserved = models
        .iter()
        .filter(|model| model.wanted > 0 && model.serving == 0);
    for model in unserved.filter(|model| !has_group(model)) {
        let why = model.missing.as_deref().unwrap_or_default();
        needs.push(format!(
            "{} serves nothing in {}: {why}",
            model.record, model.failure_domain
        ));
    }
    needs
}

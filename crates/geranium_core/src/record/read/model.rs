//! Parsing of model records in both schema versions.

use super::check_unique;
use crate::id::RecordName;
use crate::record::fields::Fields;
use crate::record::{AccountShare, ModelSpec, Placement, SchemaVersion};

/// Concurrency of a cold group in schema version 1, which has no field for it.
pub(in crate::record) const DEFAULT_COLD_CONCURRENCY: u32 = 2;

/// Concurrency of a warm group in schema version 1, which has no field for it.
pub(in crate::record) const DEFAULT_WARM_CONCURRENCY: u32 = 32;

/// Weight of each client account in schema version 1.
const DEFAULT_WEIGHT: u32 = 1;

/// Maximum number of hosts in one replica.
const MAX_HOSTS_PER_REPLICA: u32 = 64;

/// Maximum number of replicas of one record in a failure domain.
const MAX_REPLICAS: u32 = 1_000;

/// Maximum concurrency of a group.
const MAX_CONCURRENCY: u32 = 10_000;

/// Maximum weight of a client account.
const MAX_WEIGHT: u32 = 1_000;

/// Maximum length of the names of weights, versions and adapters, in bytes.
const MAX_WEIGHTS_LEN: usize = 256;

/// Reads the fields of a model record.
pub(in crate::record) fn read_model(
    fields: &mut Fields<'_>,
    name: RecordName,
    version: SchemaVersion,
) -> Option<ModelSpec> {
    let served_model = fields.id("served_model");
    let weights = fields.text("weights", MAX_WEIGHTS_LEN);
    let weights_version = fields.text("version", MAX_WEIGHTS_LEN);
    let adapters = read_adapters(fields);
    let hosts = fields.number("hosts_per_replica", 1..=MAX_HOSTS_PER_REPLICA);
    let placements = match version {
        SchemaVersion::V1 => read_failure_domains(fields),
        SchemaVersion::V2 => read_placements(fields),
    };
    let accounts = match version {
        SchemaVersion::V1 => read_account_names(fields),
        SchemaVersion::V2 => read_account_shares(fields),
    };
    let concurrency = match version {
        SchemaVersion::V1 => Some((DEFAULT_COLD_CONCURRENCY, DEFAULT_WARM_CONCURRENCY)),
        SchemaVersion::V2 => read_concurrency(fields),
    };
    let (cold_concurrency, warm_concurrency) = concurrency?;
    Some(ModelSpec {
        name,
        served_model: served_model?,
        weights: weights?,
        version: weights_version?,
        adapters: adapters?,
        hosts_per_replica: hosts?,
        placements: placements?,
        accounts: accounts?,
        cold_concurrency,
        warm_concurrency,
    })
}

fn read_adapters(fields: &mut Fields<'_>) -> Option<Vec<String>> {
    if fields.get("adapters").is_none() {
        return Some(Vec::new());
    }
    let valid = format!("text of 1 to {MAX_WEIGHTS_LEN} bytes");
    let mut adapters = fields.list("adapters", "a list of adapter names", |text| {
        if text.is_empty() || text.len() > MAX_WEIGHTS_LEN {
            return Err(valid.clone());
        }
        Ok(text.to_owned())
    })?;
    adapters.sort();
    check_unique(fields, "adapters", &adapters);
    Some(adapters)
}

fn read_failure_domains(fields: &mut Fields<'_>) -> Option<Vec<Placement>> {
    let domains = fields.ids("failure_domains");
    let replicas = fields.number("replicas_per_domain", 0..=MAX_REPLICAS);
    let domains = domains?;
    check_unique(fields, "failure_domains", &domains);
    let replicas = replicas?;
    let placements = domains.into_iter().map(|failure_domain| Placement {
        failure_domain,
        replicas,
    });
    Some(placements.collect())
}

fn read_placements(fields: &mut Fields<'_>) -> Option<Vec<Placement>> {
    let valid = "a list of {\"failure_domain\", \"replicas\"}";
    let placements = fields.objects("placements", valid, |fields| {
        let failure_domain = fields.id("failure_domain");
        let replicas = fields.number("replicas", 0..=MAX_REPLICAS);
        Some(Placement {
            failure_domain: failure_domain?,
            replicas: replicas?,
        })
    })?;
    let domains: Vec<_> = placements.iter().map(|p| &p.failure_domain).collect();
    check_unique(fields, "placements", &domains);
    Some(placements)
}

fn read_account_names(fields: &mut Fields<'_>) -> Option<Vec<AccountShare>> {
    let accounts = fields.ids("accounts")?;
    check_unique(fields, "accounts", &accounts);
    let shares = accounts.into_iter().map(|account| AccountShare {
        account,
        weight: DEFAULT_WEIGHT,
    });
    Some(shares.collect())
}

fn read_account_shares(fields: &mut Fields<'_>) -> Option<Vec<AccountShare>> {
    let valid = "a list of {\"account\", \"weight\"}";
    let shares = fields.objects("accounts", valid, |fields| {
        let account = fields.id("account");
        let weight = fields.number("weight", 1..=MAX_WEIGHT);
        Some(AccountShare {
            account: account?,
            weight: weight?,
        })
    })?;
    let accounts: Vec<_> = shares.iter().map(|share| &share.account).collect();
    check_unique(fields, "accounts", &accounts);
    Some(shares)
}

fn read_concurrency(fields: &mut Fields<'_>) -> Option<(u32, u32)> {
    let cold = fields.number("cold_concurrency", 1..=MAX_CONCURRENCY);
    let warm = fields.number("warm_concurrency", 1..=MAX_CONCURRENCY);
    let (cold, warm) = (cold?, warm?);
    if cold > warm {
        let valid = format!("at most warm_concurrency, which is {warm}");
        fields.reject("cold_concurrency", valid);
        return None;
    }
    Some((cold, warm))
}

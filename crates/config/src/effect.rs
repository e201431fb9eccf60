//! Effects of a configuration change on the running fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};
use span_types::{ServiceName, UpstreamName, WorkspaceName};

use crate::{Document, KeyHash};

/// The whole capacity of a service: 10,000 basis points.
const FULL_SERVICE_BP: u64 = 10_000;

/// What a change does to services, upstreams, workspaces and operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effects {
    /// Services whose number of slots or whose division among workspaces changes.
    pub services: Vec<ServiceEffect>,
    /// Upstreams whose current endpoint receives no new requests, because they are
    /// removed, marked as leaving or moved to another address or service.
    pub drained: Vec<UpstreamName>,
    /// Services that workspaces could use before and cannot use after the change.
    pub cut_off: Vec<AccessLoss>,
    /// Workspaces and abbreviated hashes of the keys that are no longer accepted.
    pub keys_revoked: Vec<(WorkspaceName, String)>,
    /// Operators whose current key can no longer plan and confirm changes.
    pub operators_removed: Vec<String>,
}

/// Change of the capacity of one service or of its division among workspaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEffect {
    /// The service.
    pub service: ServiceName,
    /// Slots of all upstreams that accept new work, before the change.
    pub slots_before: u64,
    /// Slots of all upstreams that accept new work, after the change.
    pub slots_after: u64,
    /// Workspaces whose share of the capacity changes.
    pub shares: Vec<ShareChange>,
}

/// Share of a service's capacity that a workspace receives while all workspaces
/// have requests waiting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareChange {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Share before the change, in basis points; 0 if the workspace could not use
    /// the service.
    pub before_bp: u32,
    /// Share after the change, in basis points; 0 if the workspace cannot use the
    /// service.
    pub after_bp: u32,
}

/// A service that a workspace can no longer use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccessLoss {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The service.
    pub service: ServiceName,
    /// Why the workspace cannot use it.
    pub reason: String,
}

impl Effects {
    /// Computes the effects of replacing `before` with `after`.
    pub fn between(before: &Document, after: &Document) -> Self {
        let (before_totals, after_totals) =
            (DocumentWithTotals::new(before), DocumentWithTotals::new(after));
        Self {
            services: service_effects(&before_totals, &after_totals),
            drained: stopped_upstreams(before, after),
            cut_off: access_losses(&before_totals, &after_totals),
            keys_revoked: revoked_keys(before, after),
            operators_removed: removed_operators(before, after),
        }
    }
}

fn service_effects(
    before: &DocumentWithTotals<'_>,
    after: &DocumentWithTotals<'_>,
) -> Vec<ServiceEffect> {
    let names: BTreeSet<&ServiceName> =
        before.document.services.keys().chain(after.document.services.keys()).collect();
    let effects = names.into_iter().map(|service| ServiceEffect {
        service: service.clone(),
        slots_before: before.totals.slots(service),
        slots_after: after.totals.slots(service),
        shares: share_changes(before, after, service),
    });
    effects
        .filter(|effect| !effect.shares.is_empty() || effect.slots_before != effect.slots_after)
        .collect()
}

/// Slots and sum of workspace shares for each service, computed in one pass over
/// the document.
struct ServiceTotals<'a> {
    slots: BTreeMap<&'a ServiceName, u64>,
    share_sums: BTreeMap<&'a ServiceName, u64>,
}

impl<'a> ServiceTotals<'a> {
    fn of(document: &'a Document) -> Self {
        let mut totals = Self { slots: BTreeMap::new(), share_sums: BTreeMap::new() };
        for upstream in document.upstreams.values().filter(|upstream| !upstream.leaving) {
            *totals.slots.entry(&upstream.service).or_default() +=
                u64::from(upstream.max_concurrency);
        }
        for workspace in document.workspaces.values() {
            for service in &workspace.services {
                *totals.share_sums.entry(service).or_default() += u64::from(workspace.share);
            }
        }
        totals
    }

    fn slots(&self, service: &ServiceName) -> u64 {
        self.slots.get(service).copied().unwrap_or(0)
    }

    fn share_sum(&self, service: &ServiceName) -> u64 {
        self.share_sums.get(service).copied().unwrap_or(0)
    }
}

/// A document with the totals of its services.
struct DocumentWithTotals<'a> {
    document: &'a Document,
    totals: ServiceTotals<'a>,
}

impl<'a> DocumentWithTotals<'a> {
    fn new(document: &'a Document) -> Self {
        Self { document, totals: ServiceTotals::of(document) }
    }
}

fn share_changes(
    before: &DocumentWithTotals<'_>,
    after: &DocumentWithTotals<'_>,
    service: &ServiceName,
) -> Vec<ShareChange> {
    let names: BTreeSet<&WorkspaceName> =
        before.document.workspaces.keys().chain(after.document.workspaces.keys()).collect();
    let changes = names.into_iter().map(|workspace| ShareChange {
        workspace: workspace.clone(),
        before_bp: capacity_bp(before, workspace, service),
        after_bp: capacity_bp(after, workspace, service),
    });
    changes.filter(|change| change.before_bp != change.after_bp).collect()
}

/// Returns the share of the capacity of `service` that `workspace` receives, in basis
/// points; 0 if the workspace cannot use the service.
fn capacity_bp(
    config: &DocumentWithTotals<'_>,
    workspace: &WorkspaceName,
    service: &ServiceName,
) -> u32 {
    let Some(workspace) = config.document.workspaces.get(workspace) else { return 0 };
    let total = config.totals.share_sum(service);
    if !workspace.services.contains(service) || total == 0 {
        return 0;
    }
    u32::try_from(u64::from(workspace.share) * FULL_SERVICE_BP / total).unwrap_or(0)
}

fn stopped_upstreams(before: &Document, after: &Document) -> Vec<UpstreamName> {
    let accepting = before.upstreams.iter().filter(|(_, upstream)| !upstream.leaving);
    let stopped = accepting.filter(|(name, old)| match after.upstreams.get(*name) {
        None => true,
        Some(new) => new.leaving || new.address != old.address || new.service != old.service,
    });
    stopped.map(|(name, _)| name.clone()).collect()
}

fn access_losses(
    before: &DocumentWithTotals<'_>,
    after: &DocumentWithTotals<'_>,
) -> Vec<AccessLoss> {
    let mut losses = Vec::new();
    for (name, old) in &before.document.workspaces {
        for service in &old.services {
            if check_access(before, name, service).is_ok()
                && let Err(reason) = check_access(after, name, service)
            {
                let (workspace, service) = (name.clone(), service.clone());
                losses.push(AccessLoss { workspace, service, reason: reason.to_owned() });
            }
        }
    }
    losses
}

fn check_access(
    config: &DocumentWithTotals<'_>,
    workspace: &WorkspaceName,
    service: &ServiceName,
) -> Result<(), &'static str> {
    let workspace = config.document.workspaces.get(workspace).ok_or("the workspace is removed")?;
    if !workspace.services.contains(service) {
        return Err("the workspace may no longer use it");
    }
    if workspace.keys.is_empty() {
        return Err("the workspace has no keys");
    }
    if config.totals.slots(service) == 0 {
        return Err("the service has no upstreams");
    }
    Ok(())
}

fn revoked_keys(before: &Document, after: &Document) -> Vec<(WorkspaceName, String)> {
    let mut revoked = Vec::new();
    for (name, old) in &before.workspaces {
        let kept = after.workspaces.get(name).map(|new| &new.keys);
        let removed = old.keys.iter().filter(|key| kept.is_none_or(|kept| !kept.contains(*key)));
        revoked.extend(removed.map(KeyHash::abbreviated).map(|key| (name.clone(), key.to_owned())));
    }
    revoked
}

fn removed_operators(before: &Document, after: &Document) -> Vec<String> {
    let removed = before
        .operators
        .iter()
        .filter(|(name, old)| after.operators.get(*name).is_none_or(|new| new.key != old.key));
    removed.map(|(name, _)| name.to_string()).collect()
}

impl fmt::Display for Effects {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Self::default() {
            return f.write_str("effects on the running fleet: none");
        }
        f.write_str("effects on the running fleet:")?;
        for effect in &self.services {
            write!(f, "\n  service {}", effect.service)?;
            if effect.slots_before != effect.slots_after {
                write!(f, ": {} -> {} slots", effect.slots_before, effect.slots_after)?;
            }
            for share in &effect.shares {
                let (before, after) = (BasisPoints(share.before_bp), BasisPoints(share.after_bp));
                write!(f, "\n    {}: {before} -> {after}", share.workspace)?;
            }
        }
        for upstream in &self.drained {
            write!(f, "\n  the current endpoint of upstream {upstream} receives no new requests")?;
        }
        for loss in &self.cut_off {
            write!(
                f,
                "\n  workspace {} loses access to {}: {}",
                loss.workspace, loss.service, loss.reason
            )?;
        }
        for (workspace, key) in &self.keys_revoked {
            write!(f, "\n  key {key} of workspace {workspace} is revoked")?;
        }
        for operator in &self.operators_removed {
            write!(f, "\n  operator {operator} can no longer use the current key")?;
        }
        Ok(())
    }
}

/// Basis points, printed as a percentage with two decimals.
struct BasisPoints(u32);

impl fmt::Display for BasisPoints {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}%", self.0 / 100, self.0 % 100)
    }
}

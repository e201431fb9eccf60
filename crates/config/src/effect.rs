//! What a change of the document does to the running fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};
use span_types::{ServiceName, UpstreamName, WorkspaceName};

use crate::{Document, KeyHash};

/// Parts of a service: 10,000 basis points are the whole.
const WHOLE_BP: u64 = 10_000;

/// Effects on the running fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effects {
    /// Services whose division or capacity changes.
    pub services: Vec<ServiceEffect>,
    /// Upstreams that get no new work any more.
    pub drained: Vec<UpstreamName>,
    /// Services that workspaces can no longer use.
    pub cut_off: Vec<WorkspaceLoss>,
    /// Keys that are no longer accepted, abbreviated, with their workspace.
    pub keys_revoked: Vec<(WorkspaceName, String)>,
    /// Operators who can no longer plan and confirm.
    pub operators_removed: Vec<String>,
}

/// Change of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEffect {
    /// The service.
    pub service: ServiceName,
    /// Concurrent requests its upstreams may take, before.
    pub slots_before: u64,
    /// Concurrent requests its upstreams may take, after.
    pub slots_after: u64,
    /// Workspaces whose part of the service changes.
    pub shares: Vec<ShareChange>,
}

/// Part of a service that a workspace gets while all workspaces are backlogged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareChange {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Part before, in basis points; 0 if it could not use the service.
    pub before_bp: u32,
    /// Part after, in basis points; 0 if it cannot use the service.
    pub after_bp: u32,
}

/// A service that a workspace loses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceLoss {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The service.
    pub service: ServiceName,
    /// Why it cannot be used.
    pub reason: String,
}

impl Effects {
    /// Effects of replacing `before` by `after`.
    pub fn between(before: &Document, after: &Document) -> Self {
        let (counted_before, counted_after) = (Counted::new(before), Counted::new(after));
        Self {
            services: services(&counted_before, &counted_after),
            drained: drained(before, after),
            cut_off: cut_off(&counted_before, &counted_after),
            keys_revoked: keys_revoked(before, after),
            operators_removed: operators_removed(before, after),
        }
    }
}

fn services(before: &Counted<'_>, after: &Counted<'_>) -> Vec<ServiceEffect> {
    let names: BTreeSet<&ServiceName> =
        before.document.services.keys().chain(after.document.services.keys()).collect();
    let effects = names.into_iter().map(|service| ServiceEffect {
        service: service.clone(),
        slots_before: before.totals.slots(service),
        slots_after: after.totals.slots(service),
        shares: shares(before, after, service),
    });
    effects
        .filter(|effect| !effect.shares.is_empty() || effect.slots_before != effect.slots_after)
        .collect()
}

/// Slots and shares per service, counted in one pass over the document.
struct Totals<'a> {
    slots: BTreeMap<&'a ServiceName, u64>,
    shares: BTreeMap<&'a ServiceName, u64>,
}

impl<'a> Totals<'a> {
    fn of(document: &'a Document) -> Self {
        let mut totals = Self { slots: BTreeMap::new(), shares: BTreeMap::new() };
        for upstream in document.upstreams.values().filter(|upstream| !upstream.leaving) {
            *totals.slots.entry(&upstream.service).or_default() +=
                u64::from(upstream.max_concurrency);
        }
        for workspace in document.workspaces.values() {
            for service in &workspace.services {
                *totals.shares.entry(service).or_default() += u64::from(workspace.share);
            }
        }
        totals
    }

    fn slots(&self, service: &ServiceName) -> u64 {
        self.slots.get(service).copied().unwrap_or(0)
    }

    fn shares(&self, service: &ServiceName) -> u64 {
        self.shares.get(service).copied().unwrap_or(0)
    }
}

/// A document with its totals.
struct Counted<'a> {
    document: &'a Document,
    totals: Totals<'a>,
}

impl<'a> Counted<'a> {
    fn new(document: &'a Document) -> Self {
        Self { document, totals: Totals::of(document) }
    }
}

fn shares(before: &Counted<'_>, after: &Counted<'_>, service: &ServiceName) -> Vec<ShareChange> {
    let names: BTreeSet<&WorkspaceName> =
        before.document.workspaces.keys().chain(after.document.workspaces.keys()).collect();
    let changes = names.into_iter().map(|workspace| ShareChange {
        workspace: workspace.clone(),
        before_bp: part_bp(before, workspace, service),
        after_bp: part_bp(after, workspace, service),
    });
    changes.filter(|change| change.before_bp != change.after_bp).collect()
}

fn part_bp(counted: &Counted<'_>, workspace: &WorkspaceName, service: &ServiceName) -> u32 {
    let Some(workspace) = counted.document.workspaces.get(workspace) else { return 0 };
    let total = counted.totals.shares(service);
    if !workspace.services.contains(service) || total == 0 {
        return 0;
    }
    u32::try_from(u64::from(workspace.share) * WHOLE_BP / total).unwrap_or(0)
}

fn drained(before: &Document, after: &Document) -> Vec<UpstreamName> {
    let served = before.upstreams.iter().filter(|(_, upstream)| !upstream.leaving);
    let drained = served.filter(|(name, old)| match after.upstreams.get(*name) {
        None => true,
        Some(new) => new.leaving || new.address != old.address || new.service != old.service,
    });
    drained.map(|(name, _)| name.clone()).collect()
}

fn cut_off(before: &Counted<'_>, after: &Counted<'_>) -> Vec<WorkspaceLoss> {
    let mut losses = Vec::new();
    for (name, old) in &before.document.workspaces {
        for service in &old.services {
            if usable(before, name, service).is_ok()
                && let Err(reason) = usable(after, name, service)
            {
                let (workspace, service) = (name.clone(), service.clone());
                losses.push(WorkspaceLoss { workspace, service, reason: reason.to_owned() });
            }
        }
    }
    losses
}

fn usable(
    counted: &Counted<'_>,
    workspace: &WorkspaceName,
    service: &ServiceName,
) -> Result<(), &'static str> {
    let workspace = counted.document.workspaces.get(workspace).ok_or("the workspace is removed")?;
    if !workspace.services.contains(service) {
        return Err("the workspace may no longer use it");
    }
    if workspace.keys.is_empty() {
        return Err("the workspace has no keys");
    }
    if counted.totals.slots(service) == 0 {
        return Err("the service has no upstreams");
    }
    Ok(())
}

fn keys_revoked(before: &Document, after: &Document) -> Vec<(WorkspaceName, String)> {
    let mut revoked = Vec::new();
    for (name, old) in &before.workspaces {
        let kept = after.workspaces.get(name).map(|new| &new.keys);
        let gone = old.keys.iter().filter(|key| kept.is_none_or(|kept| !kept.contains(*key)));
        revoked.extend(gone.map(KeyHash::abbreviated).map(|key| (name.clone(), key.to_owned())));
    }
    revoked
}

fn operators_removed(before: &Document, after: &Document) -> Vec<String> {
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
                let (before, after) = (Percent(share.before_bp), Percent(share.after_bp));
                write!(f, "\n    {}: {before} -> {after}", share.workspace)?;
            }
        }
        for upstream in &self.drained {
            write!(f, "\n  upstream {upstream} is drained")?;
        }
        for loss in &self.cut_off {
            write!(f, "\n  workspace {} loses {}: {}", loss.workspace, loss.service, loss.reason)?;
        }
        for (workspace, key) in &self.keys_revoked {
            write!(f, "\n  key {key} of workspace {workspace} is revoked")?;
        }
        for operator in &self.operators_removed {
            write!(f, "\n  operator {operator} loses access with the present key")?;
        }
        Ok(())
    }
}

struct Percent(u32);

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}%", self.0 / 100, self.0 % 100)
    }
}

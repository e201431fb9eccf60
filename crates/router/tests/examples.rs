//! The examples of both deployments.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, fs, path::PathBuf};

use span_config::{Document, SourceFile, parse};
use span_router::settings::{self, Settings};

struct Case {
    name: &'static str,
    domains: &'static [&'static str],
    replicas: &'static [(&'static str, usize)],
}

const CASES: [Case; 2] = [
    Case {
        name: "magnolia",
        domains: &["hall-atl", "hall-bhm", "hall-jxn"],
        replicas: &[("stitch-assist", 18), ("booking-desk", 3)],
    },
    Case {
        name: "cordillera",
        domains: &["quito-a", "quito-b", "cumbaya", "ibarra"],
        replicas: &[("rosemary-pool", 9), ("portal-app", 4)],
    },
];

fn files(name: &str, folder: &str) -> Vec<PathBuf> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let entries = fs::read_dir(root.join(name).join(folder)).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

fn document(name: &str) -> Document {
    let read = |path: PathBuf| SourceFile {
        name: path.display().to_string(),
        text: fs::read_to_string(&path).unwrap(),
    };
    let sources: Vec<SourceFile> = files(name, "fleet").into_iter().map(read).collect();
    parse(&sources).unwrap_or_else(|problems| panic!("{problems}"))
}

/// Guards against examples that the programs refuse or that are not the
/// deployments of the design page.
#[test]
fn documents_are_those_of_the_design_page() {
    for case in CASES {
        let document = document(case.name);
        assert_eq!(document.workspaces.len(), 16);
        let shares = document.workspaces.values().map(|workspace| workspace.share);
        assert_eq!(shares.filter(|share| *share >= 8).count(), 3, "a few are large");
        for (service, count) in case.replicas {
            let upstreams = document.upstreams.values();
            let of_service = upstreams.filter(|upstream| upstream.service.as_str() == *service);
            assert_eq!(of_service.count(), *count, "{service}");
        }
        let upstreams = document.upstreams.values();
        assert!(upstreams.clone().all(|upstream| upstream.address.ip().is_loopback()));
        let domains: BTreeSet<&str> = upstreams.map(|u| u.failure_domain.as_str()).collect();
        assert_eq!(domains, case.domains.iter().copied().collect());
        assert!(!document.operators.is_empty());
    }
}

/// Guards against settings that a router refuses, and against two processes
/// with one address.
#[test]
fn router_settings_fit_together() {
    for case in CASES {
        let read = |path: &PathBuf| settings::load(path).unwrap();
        let all: Vec<Settings> = files(case.name, "routers").iter().map(read).collect();
        assert_eq!(all.len(), 6);
        let addresses = all.iter().flat_map(|s| [s.http_address, s.peer_address]);
        let upstreams: Vec<_> = document(case.name).upstreams.into_values().collect();
        let addresses: BTreeSet<_> = addresses.chain(upstreams.iter().map(|u| u.address)).collect();
        assert_eq!(addresses.len(), 12 + upstreams.len());
        let domains: BTreeSet<&str> = all.iter().map(|s| s.failure_domain.as_str()).collect();
        assert_eq!(domains, case.domains.iter().copied().collect());
    }
}

//! Tests of which changed settings take a restart.

use span_edge::settings::{FleetLimits, ListenAddresses, Resources, Settings};

fn settings() -> Settings {
    let address = "127.0.0.1:1".parse().expect("address");
    Settings {
        instance: "r1".into(),
        failure_domain: "domain".into(),
        addresses: ListenAddresses {
            callers: address,
            readiness: address,
            directory: address,
            peers: address,
            heartbeats: address,
            metrics: address,
        },
        seeds: Vec::new(),
        resources: Resources {
            processor_millicores: 250,
            memory_bytes: 1 << 28,
            max_sockets: 4_000,
        },
        fleet_limits: FleetLimits {
            shutdown_grace_ms: 8_000,
            retry_ratio: 0.2,
            retry_window_ms: 10_000,
            retry_slack: 52,
            evacuation_ms: None,
            directory_lifetime_ms: 5_000,
            cold_overshoot: 1.5,
            cold_slack: 5.0,
        },
        is_first_start: false,
        entry_renewal_interval_ms: 1_200,
    }
}

/// The log said that no restart was needed after a change of the failure domain or of
/// the resources, although the old ones stayed in use.
#[test]
fn settings_used_at_the_start_need_a_restart() {
    struct Case {
        name: &'static str,
        change: fn(&mut Settings),
        needs_restart: bool,
    }
    let cases = [
        Case { name: "nothing", change: |_| (), needs_restart: false },
        Case { name: "port", change: |s| s.addresses.callers.set_port(2), needs_restart: true },
        Case { name: "domain", change: |s| s.failure_domain = "x".into(), needs_restart: true },
        Case { name: "memory", change: |s| s.resources.memory_bytes = 1, needs_restart: true },
        Case { name: "retries", change: |s| s.fleet_limits.retry_slack = 1, needs_restart: false },
        Case { name: "seeds", change: |s| s.seeds.clear(), needs_restart: false },
    ];
    for case in cases {
        let mut changed = settings();
        (case.change)(&mut changed);
        assert_eq!(settings().needs_restart_for(&changed), case.needs_restart, "{}", case.name);
    }
}

/// Guards against a changed field that has no effect until a restart and is not named, and
/// against one that is named although it is in force at once.
#[test]
fn each_field_that_needs_a_restart_is_named() {
    struct Case {
        change: fn(&mut Settings),
        fields: &'static [&'static str],
    }
    let cases = [
        Case { change: |s| s.instance = "r2".into(), fields: &["instance"] },
        Case { change: |s| s.failure_domain = "x".into(), fields: &["failure_domain"] },
        Case { change: |s| s.addresses.callers.set_port(2), fields: &["addresses.callers"] },
        Case { change: |s| s.addresses.readiness.set_port(2), fields: &["addresses.readiness"] },
        Case { change: |s| s.addresses.directory.set_port(2), fields: &["addresses.directory"] },
        Case { change: |s| s.addresses.peers.set_port(2), fields: &["addresses.peers"] },
        Case { change: |s| s.addresses.heartbeats.set_port(2), fields: &["addresses.heartbeats"] },
        Case { change: |s| s.addresses.metrics.set_port(2), fields: &["addresses.metrics"] },
        Case {
            change: |s| s.resources.processor_millicores = 1,
            fields: &["resources.processor_millicores"],
        },
        Case { change: |s| s.resources.memory_bytes = 1, fields: &["resources.memory_bytes"] },
        Case { change: |s| s.resources.max_sockets = 1, fields: &["resources.max_sockets"] },
        Case { change: |s| s.seeds.push(s.addresses.peers), fields: &[] },
        Case { change: |s| s.fleet_limits.shutdown_grace_ms = 1, fields: &[] },
        Case { change: |s| s.fleet_limits.evacuation_ms = Some(1), fields: &[] },
        Case { change: |s| s.entry_renewal_interval_ms = 1, fields: &[] },
        Case {
            change: |s| {
                s.failure_domain = "x".into();
                s.resources.max_sockets = 1;
            },
            fields: &["failure_domain", "resources.max_sockets"],
        },
    ];
    for case in cases {
        let mut changed = settings();
        (case.change)(&mut changed);
        assert_eq!(settings().fields_needing_restart_for(&changed), case.fields);
    }
}

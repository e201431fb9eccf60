//! Settings of the intent processes in the examples.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, fs, path::PathBuf};

use span_intent::settings;

/// Guards against example settings that an intent process rejects, and against two
/// processes with the same address.
#[test]
fn intent_settings_of_the_examples_are_valid() {
    for name in ["magnolia", "cordillera"] {
        let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let entries = fs::read_dir(root.join(name).join("intents")).unwrap();
        let read = |path: PathBuf| settings::load(&path).unwrap();
        let all: Vec<_> = entries.map(|entry| read(entry.unwrap().path())).collect();
        let addresses: BTreeSet<_> = all.iter().map(|settings| settings.intent_address).collect();
        assert_eq!(addresses.len(), 6);
        assert!(all.iter().all(|settings| settings.bootstrap_operator.is_some()));
    }
}

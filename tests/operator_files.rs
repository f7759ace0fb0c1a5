//! Checks the files that operators write: the keys that each parser accepts, the value that every
//! key sets, and the rejection of unknown keys. Renames in the code must not change them.
//!
//! `fixtures/operator/` has one file of each kind with every key set to a value other than its
//! default. The tests write values under their own names, so that snapshots do not depend on field
//! names. After an intended change, `INSTA_UPDATE=always cargo test --test operator_files` rewrites
//! the snapshots in `snapshots/`.

#[path = "common/values.rs"]
mod values;

use std::fmt::Display;
use std::path::Path;

use molelug::config::Operator;
use molelug::consensus::config::ConsensusConfig;
use molelug::identity::Role;
use molelug::membership::config::Gossip as GossipConfig;
use molelug::replication::config::{ReplicationFile, WhenFewer};
use molelug::tenancy::Spec;
use values::{fixture, read_fixture, Values};

/// A key that no parser accepts.
const UNKNOWN_KEY: &str = "unknown_key";

fn error_of<T>(read: Result<T, impl Display>) -> Option<String> {
    read.err().map(|error| error.to_string())
}

/// A kind of operator file: its fixture, the headers of its tables, and the error of its parser.
struct Kind {
    name: &'static str,
    tables: &'static [&'static str],
    error: fn(&Path) -> Option<String>,
}

const KINDS: [Kind; 4] = [
    Kind {
        name: "operator.toml",
        tables: &[
            "",
            "[webhooks]",
            "[admin]",
            "[[admin.callers]]",
            "[[tenants]]",
            "[[tenants.endpoints]]",
        ],
        error: |path| error_of(Operator::read(path)),
    },
    Kind {
        name: "gossip.toml",
        tables: &[""],
        error: |path| error_of(GossipConfig::read(path)),
    },
    Kind {
        name: "council.toml",
        tables: &[""],
        error: |path| error_of(ConsensusConfig::read(path)),
    },
    Kind {
        name: "copies.toml",
        tables: &["", "[members.n1]"],
        error: |path| error_of(ReplicationFile::read(path)),
    },
];

/// Inserts an unknown key into the first table with this header, or into the top-level table if the
/// header is empty.
fn with_unknown_key(text: &str, header: &str) -> String {
    let line = format!("{UNKNOWN_KEY} = 1\n");
    if header.is_empty() {
        return line + text;
    }
    let header = format!("{header}\n");
    assert!(text.contains(&header), "no {header}");
    text.replacen(&header, &(header.clone() + &line), 1)
}

/// Extracts the accepted keys from a parser's error about an unknown key.
fn accepted_keys(error: &str) -> Vec<String> {
    let (_, list) = error
        .split_once(", expected ")
        .unwrap_or_else(|| panic!("no list in: {error}"));
    list.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Returns the first table with this header.
fn table<'a>(file: &'a toml::Table, header: &str) -> &'a toml::Table {
    let mut at = file;
    for key in header
        .trim_matches(['[', ']'])
        .split('.')
        .filter(|key| !key.is_empty())
    {
        let value = &at[key];
        let value = value.as_array().map_or(value, |list| &list[0]);
        at = value.as_table().expect("a table");
    }
    at
}

#[test]
fn unknown_keys_are_refused_with_accepted_ones() {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("files-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut all = String::new();
    for kind in KINDS {
        let text = read_fixture(kind.name);
        let parsed: toml::Table = text.parse().expect("TOML");
        assert_eq!((kind.error)(&fixture(kind.name)), None, "{}", kind.name);
        for header in kind.tables {
            let path = folder.join(kind.name);
            std::fs::write(&path, with_unknown_key(&text, header)).expect("a file");
            let error =
                (kind.error)(&path).unwrap_or_else(|| panic!("{} {header}: accepted", kind.name));
            assert!(error.contains("unknown field `unknown_key`"), "{error}");
            let keys = accepted_keys(&error);
            for key in &keys {
                assert!(
                    table(&parsed, header).contains_key(key),
                    "{} {header} lacks {key}",
                    kind.name
                );
            }
            all += &format!("{} {header}\n    {}\n", kind.name, keys.join("\n    "));
        }
    }
    std::fs::remove_dir_all(&folder).expect("the folder exists");
    insta::assert_snapshot!("accepted_keys", all);
}

fn role(role: Role) -> &'static str {
    match role {
        Role::Viewer => "viewer",
        Role::Operator => "operator",
    }
}

fn tenant_values(out: &mut Values, at: &str, tenant: &Spec) {
    out.add(&format!("{at}.name"), &tenant.name);
    out.add(&format!("{at}.share_per_s"), tenant.share_per_s);
    out.add(&format!("{at}.portal"), &tenant.portal);
    out.add(&format!("{at}.secrets"), &tenant.secrets);
    for (n, endpoint) in tenant.endpoints.iter().enumerate() {
        let at = format!("{at}.endpoints.{n}");
        out.add(&format!("{at}.name"), &endpoint.name);
        out.add(&format!("{at}.url"), &endpoint.url);
        out.add(&format!("{at}.types"), &endpoint.types);
        out.add(&format!("{at}.enabled"), endpoint.enabled);
        out.add(&format!("{at}.rate_per_s"), endpoint.rate_per_s);
        out.add(&format!("{at}.in_flight"), endpoint.in_flight);
        out.add(&format!("{at}.schedule_s"), &endpoint.schedule_s);
        out.add(&format!("{at}.ordered"), endpoint.ordered);
        out.add(&format!("{at}.secrets"), &endpoint.secrets);
    }
}

fn operator_values(path: &Path) -> String {
    let file = Operator::read(path).expect("an operator's file");
    let mut out = Values::default();
    out.add("state", &file.state);
    let webhooks = file.webhooks.as_ref().expect("webhooks");
    out.add("webhooks.listen", webhooks.listen);
    out.add("webhooks.tolerance_s", webhooks.tolerance_s);
    out.add("webhooks.replay_entries", webhooks.replay_entries);
    out.add("webhooks.removed_grace_s", webhooks.removed_grace_s);
    out.add("webhooks.replay_file", &webhooks.replay_file);
    out.add("webhooks.home", webhooks.home);
    out.add("webhooks.homes", &webhooks.homes);
    out.add("webhooks.store", &webhooks.store);
    out.add("webhooks.store_mb", webhooks.store_mb);
    out.add("webhooks.retention_days", webhooks.retention_days);
    out.add("webhooks.retention_mb", webhooks.retention_mb);
    out.add("webhooks.schedule_s", &webhooks.schedule_s);
    out.add("webhooks.disable_after_s", webhooks.disable_after_s);
    out.add(
        "webhooks.allow_networks",
        webhooks
            .allow_networks
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>(),
    );
    out.add(
        "webhooks.deny_networks",
        webhooks
            .deny_networks
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>(),
    );
    out.add("webhooks.portals", webhooks.portals);
    out.add("webhooks.pending", webhooks.pending);
    out.add("webhooks.callback_window_ms", webhooks.callback_window_ms);
    out.add("webhooks.callback_answer_ms", webhooks.callback_answer_ms);
    let admin = file.admin.as_ref().expect("administration");
    out.add("admin.listen", admin.listen);
    out.add("admin.trust_domain", &admin.trust_domain);
    out.add("admin.audience", &admin.audience);
    out.add("admin.bundle", &admin.bundle);
    out.add("admin.refresh_s", admin.refresh_s);
    for (n, caller) in admin.callers.iter().enumerate() {
        out.add(&format!("admin.callers.{n}.spiffe_id"), &caller.spiffe_id);
        out.add(&format!("admin.callers.{n}.role"), role(caller.role));
    }
    for (n, tenant) in file.tenants.iter().enumerate() {
        tenant_values(&mut out, &format!("tenants.{n}"), tenant);
    }
    out.0
}

fn gossip_values(path: &Path) -> String {
    let file = GossipConfig::read(path).expect("a gossip file");
    let mut out = Values::default();
    out.add("listen", file.listen);
    out.add("advertise", file.advertise);
    out.add("name", &file.name);
    out.add("seeds", &file.seeds);
    out.add("state", &file.state);
    out.add("bytes_per_s", file.bytes_per_s);
    out.add("datagrams_per_s", file.datagrams_per_s);
    out.add("shared_keys", &file.shared_keys);
    out.add("own_key", &file.own_key);
    out.add("accepted", &file.accepted);
    out.0
}

fn council_values(path: &Path) -> String {
    let file = ConsensusConfig::read(path).expect("a council file");
    let mut out = Values::default();
    out.add("listen", file.listen);
    out.add("name", &file.name);
    out.add("seat", &file.replica_disk);
    out.add("voters", &file.voters);
    out.add("duties", &file.leases);
    out.add("lease_ms", file.lease_ms);
    out.add("drift_ppm", file.drift_ppm);
    out.add("tick_ms", file.tick_ms);
    out.add("history", &file.history);
    out.add("shared_keys", &file.shared_keys);
    out.add("own_key", &file.own_key);
    out.add("accepted", &file.accepted);
    out.0
}

fn copies_values(path: &Path) -> String {
    let file = ReplicationFile::read(path).expect("a copies file");
    let mut out = Values::default();
    out.add("copies", file.copies);
    out.add("shards", file.shards);
    out.add("silent_ms", file.silent_ms);
    out.add("stall_ms", file.stall_ms);
    out.add("ask_ms", file.ask_ms);
    out.add("repairs", file.repairs);
    out.add("verify_s", file.verify_s);
    for (class, when) in &file.when_fewer {
        let when = match when {
            WhenFewer::Refuse => "refuse",
            WhenFewer::Fewer => "fewer",
        };
        out.add(&format!("when_fewer.{class}"), when);
    }
    for (name, member) in &file.members {
        out.add(&format!("members.{name}.address"), member.address);
        out.add(&format!("members.{name}.hall"), &member.hall);
    }
    out.0
}

#[test]
fn operator_file_with_every_key_keeps_values() {
    insta::assert_snapshot!("operator_file", operator_values(&fixture("operator.toml")));
}

#[test]
fn gossip_file_with_every_key_keeps_values() {
    insta::assert_snapshot!("gossip_file", gossip_values(&fixture("gossip.toml")));
}

#[test]
fn council_file_with_every_key_keeps_values() {
    insta::assert_snapshot!("council_file", council_values(&fixture("council.toml")));
}

#[test]
fn copies_file_with_every_key_keeps_values() {
    insta::assert_snapshot!("copies_file", copies_values(&fixture("copies.toml")));
}

/// The deployed template files, with the defaults of absent keys.
#[test]
fn deployed_files_keep_values_and_defaults() {
    let deploy = Path::new("deploy");
    let all = [
        (
            "webhooks.toml",
            operator_values(&deploy.join("webhooks.toml")),
        ),
        ("gossip.toml", gossip_values(&deploy.join("gossip.toml"))),
        ("council.toml", council_values(&deploy.join("council.toml"))),
        ("copies.toml", copies_values(&deploy.join("copies.toml"))),
    ];
    let all = all.map(|(name, values)| format!("# {name}\n{values}"));
    insta::assert_snapshot!("deployed_files", all.join("\n"));
}

/// The platform file: its paths follow the code, its keys and commands are fixed.
#[test]
fn platform_file_keeps_keys_and_commands() {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the platform's file");
    let file: toml::Table = text.parse().expect("TOML");
    let mut keys: Vec<&str> = file.keys().map(String::as_str).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["build", "node", "packages", "policy", "run", "sim"]);
    assert_eq!(
        file["build"].as_str(),
        Some("cargo build --release --locked")
    );
    assert_eq!(
        file["run"].as_str(),
        Some("exec target/release/molelug serve")
    );
    assert_eq!(
        file["sim"].as_str(),
        Some("exec target/release/molelug-simhost")
    );
    for path in ["policy", "node"]
        .iter()
        .flat_map(|key| file[*key].as_array().expect("a list"))
    {
        let path = path.as_str().expect("a path");
        assert!(Path::new(path).exists(), "{path} does not exist");
    }
}

#[test]
fn unknown_words_in_files_are_refused() {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("words-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let refusal = |name: &str, known: &str, error: fn(&Path) -> Option<String>| {
        let text = read_fixture(name);
        assert!(text.contains(known), "{name} lacks {known}");
        let path = folder.join(name);
        std::fs::write(&path, text.replacen(known, "\"unknown\"", 1)).expect("a file");
        accepted_keys(&error(&path).unwrap_or_else(|| panic!("{name}: accepted")))
    };
    let roles = refusal("operator.toml", "\"viewer\"", |path| {
        error_of(Operator::read(path))
    });
    assert_eq!(roles, ["viewer", "operator"]);
    let actions = refusal("copies.toml", "\"fewer\"", |path| {
        error_of(ReplicationFile::read(path))
    });
    assert_eq!(actions, ["refuse", "fewer"]);
    std::fs::remove_dir_all(&folder).expect("the folder exists");
}

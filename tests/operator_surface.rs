//! Checks the interface for operators: the help of every command, the counters, the second address,
//! the routes of the administration API and the environment variables. Renames in the code must not
//! change it.
//!
//! After an intended change, `INSTA_UPDATE=always cargo test --test operator_surface` rewrites the
//! snapshots in `snapshots/`.

mod common;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output};

use common::*;
use molelug::admin;
use molelug::completion::CloseReason;
use molelug::identity::Role;
use rustix::process::Signal;
use serde_json::Value;

/// Runs the program with these variables and without other variables for operators.
fn run(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_molelug"));
    command
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(arguments);
    for name in [
        "RELAY_CONFIG",
        "RELAY_NAME",
        "RELAY_LISTEN",
        "RELAY_ADMIN_ADDR",
        "RELAY_FD",
    ] {
        command.env_remove(name);
    }
    command
        .envs(variables.iter().copied())
        .output()
        .expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("plain text")
}

fn help_of(commands: &[String]) -> String {
    let arguments: Vec<&str> = commands
        .iter()
        .map(String::as_str)
        .chain(["--help"])
        .collect();
    let output = run(&arguments, &[]);
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "{arguments:?}: {output:?}"
    );
    text(&output.stdout)
}

/// Returns the commands in a help text. Positional items are in capitals, options begin with a
/// dash.
fn listed_commands(help: &str) -> Vec<String> {
    if !help
        .lines()
        .any(|line| line.starts_with("Usage: ") && line.ends_with(" COMMAND ..."))
    {
        return Vec::new();
    }
    let listed = help.lines().filter_map(|line| line.strip_prefix("    "));
    let names = listed.filter(|line| line.starts_with(|c: char| c.is_ascii_lowercase()));
    names
        .filter_map(|line| line.split_whitespace().next())
        .map(str::to_owned)
        .collect()
}

/// Appends the help of a command and of all its subcommands.
fn append_help(commands: &[String], all: &mut String) {
    let help = help_of(commands);
    *all += &format!(
        "$ molelug {}\n{help}[end]\n\n",
        [commands, &["--help".into()]].concat().join(" ")
    );
    for name in listed_commands(&help) {
        append_help(&[commands, &[name]].concat(), all);
    }
}

#[test]
fn help_of_every_command_stays_byte_identical() {
    let mut all = String::new();
    append_help(&[], &mut all);
    assert_eq!(
        all.matches("\n[end]\n").count(),
        20,
        "the program, seven commands and twelve subcommands"
    );
    insta::assert_snapshot!("help", all);
}

/// Replaces every run of digits by `N`.
fn without_numbers(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars() {
        if !c.is_ascii_digit() {
            out.push(c);
        } else if !out.ends_with('N') {
            out.push('N');
        }
    }
    out
}

/// Collects the paths of all keys in an object and its nested objects.
fn key_paths(prefix: &str, value: &Value, out: &mut Vec<String>) {
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(key, v)| key_paths(&format!("{prefix}.{key}"), v, out)),
        Value::Array(list) => list
            .iter()
            .for_each(|v| key_paths(&format!("{prefix}[]"), v, out)),
        _ => out.push(prefix.to_owned()),
    }
}

/// Sends one call and waits for its successful response.
fn serve_one_call(gateway: &Gateway) {
    let mut client = TcpStream::connect(gateway.platform).expect("the address accepts connections");
    let call = "POST /call/0000000000000007/trigger HTTP/1.1\r\nHost: t\r\nX-Class: disponibilidad\r\n\
                X-Org: franq-bajio\r\nX-Correlation-Id: 0000000000000001\r\nX-Deadline-Ms: 2400\r\nContent-Length: 0\r\n\r\n";
    client.write_all(call.as_bytes()).expect("the peer reads");
    let answer = read_message(&mut client, &mut Vec::new(), http_length).expect("an answer");
    assert!(
        text(&answer).starts_with("HTTP/1.1 200 "),
        "{}",
        text(&answer)
    );
}

#[test]
fn counters_on_sigusr1_and_exit_keep_names() {
    let worker = Worker::start();
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let mut gateway = Gateway::start(&settings(2500.0), &workers, None, None);
    serve_one_call(&gateway);
    gateway.signal(Signal::USR1);
    let line = gateway.line("counters ");
    insta::assert_snapshot!("counters", without_numbers(&line));
    let (_, on_request) = line.split_once("counters ").expect("the counters");
    let (mut during, mut at_exit) = (Vec::new(), Vec::new());
    key_paths(
        "",
        &serde_json::from_str(on_request).expect("JSON"),
        &mut during,
    );
    key_paths("", &gateway.stop(), &mut at_exit);
    assert_eq!(during, at_exit);
}

#[test]
fn attempt_endings_keep_their_counter_names() {
    let all = [
        CloseReason::Served,
        CloseReason::NotLoaded,
        CloseReason::AtCapacity,
        CloseReason::Failed,
        CloseReason::Expired,
        CloseReason::Refused,
        CloseReason::ConnectTimeout,
        CloseReason::Reset,
        CloseReason::Closed,
        CloseReason::Malformed,
        CloseReason::TimedOut,
        CloseReason::Cancelled,
        CloseReason::Withdrawn,
        CloseReason::Idle,
        CloseReason::LocalLimit,
        CloseReason::ConnectionsFull,
        CloseReason::Shutdown,
    ];
    let names = all.map(CloseReason::name);
    let expected = [
        "served",
        "missed",
        "no_room",
        "failed",
        "over",
        "refused",
        "never_up",
        "reset",
        "closed",
        "malformed",
        "timed_out",
        "called_off",
        "withdrawn",
        "idle",
        "overflow",
        "crowded",
        "shutdown",
    ];
    assert_eq!(names, expected);
}

/// The metrics after a call, and the responses that programs parse.
#[test]
fn second_address_keeps_commands_and_metric_names() {
    let worker = Worker::start();
    let workers = [endpoint("s-00000001", worker.address, "SERVING")];
    let gateway = Gateway::start_daily(&settings(2500.0), &workers, None);
    serve_one_call(&gateway);
    let mut all = String::new();
    for line in [
        "readyz",
        "telemetry",
        "exclude s-00000001",
        "telemetry",
        "include s-00000001",
        "evacuate",
    ] {
        all += &format!(
            "> {line}\n{}\n",
            gateway.ask(format!("{line}\n").as_bytes())
        );
    }
    for line in ["readyz", "activate", "readyz", "metrics"] {
        all += &format!(
            "> {line}\n{}\n",
            gateway.ask(format!("{line}\n").as_bytes())
        );
    }
    insta::assert_snapshot!("second_address", all);
}

#[test]
fn admin_routes_and_roles_stay_unchanged() {
    let role = |role: Role| match role {
        Role::Viewer => "viewer",
        Role::Operator => "operator",
    };
    let lines =
        admin::ROUTES.map(|(method, path, needed)| format!("{method} {path} {}", role(needed)));
    insta::assert_snapshot!("admin_routes", lines.join("\n"));
}

#[test]
fn openapi_document_keeps_its_digest() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/openapi.json");
    let document = std::fs::read(path).expect("the document");
    insta::assert_snapshot!("openapi_digest", blake3::hash(&document).to_hex().as_str());
}

#[test]
fn problem_details_keep_type_and_members() {
    let problems = [
        admin::problem(400, "a detail", None, true),
        admin::problem(401, "a detail", None, false),
        admin::problem(409, "a detail", Some("a remedy"), true),
        admin::problem(503, "a detail", Some("a remedy"), false),
    ];
    let shown: Vec<String> = problems
        .iter()
        .map(|bytes| text(bytes).replace("\r\n", "\\r\\n\n"))
        .collect();
    insta::assert_snapshot!("problem_details", shown.join("\n\n"));
}

/// Runs `check-config` with these variables and returns its output.
fn check_config_output(variables: &[(&str, &str)]) -> String {
    let output = run(&["check-config"], variables);
    assert!(
        output.status.success(),
        "{variables:?}: {}",
        text(&output.stderr)
    );
    text(&output.stdout)
}

#[test]
fn configuration_variables_take_effect() {
    const CONFIG: (&str, &str) = ("RELAY_CONFIG", "examples/gateway.json");
    let rest = "2 classes, 1 tenants, 1 notices known\n";
    assert_eq!(
        check_config_output(&[CONFIG]),
        format!("example listens on 127.0.0.1:7000: {rest}")
    );
    assert_eq!(
        check_config_output(&[CONFIG, ("RELAY_NAME", "other")]),
        format!("other listens on 127.0.0.1:7000: {rest}")
    );
    assert_eq!(
        check_config_output(&[CONFIG, ("RELAY_LISTEN", "127.0.0.1:7999")]),
        format!("example listens on 127.0.0.1:7999: {rest}")
    );
    let empty = [
        CONFIG,
        ("RELAY_NAME", ""),
        ("RELAY_LISTEN", ""),
        ("RELAY_ADMIN_ADDR", ""),
    ];
    assert_eq!(
        check_config_output(&empty),
        check_config_output(&[CONFIG]),
        "an empty variable counts as unset"
    );
}

#[test]
fn unusable_variables_are_refused_by_name() {
    let example = "examples/gateway.json";
    let cases = [
        ("check-config", "", None, "RELAY_CONFIG is not set"),
        (
            "check-config",
            example,
            Some(("RELAY_LISTEN", "nowhere")),
            "RELAY_LISTEN = 'nowhere' cannot be used",
        ),
        (
            "check-config",
            example,
            Some(("RELAY_ADMIN_ADDR", "nowhere")),
            "RELAY_ADMIN_ADDR = 'nowhere' cannot be used",
        ),
        // The descriptor is checked before the configuration; otherwise the missing file would be
        // the error.
        (
            "serve",
            "no-such-file",
            Some(("RELAY_FD", "2")),
            "RELAY_FD = '2' is no descriptor from 3 on",
        ),
        (
            "serve",
            "no-such-file",
            Some(("RELAY_FD", "77")),
            "RELAY_FD names descriptor 77",
        ),
    ];
    for (command, config, variable, expected) in cases {
        let variables: Vec<(&str, &str)> = [("RELAY_CONFIG", config)]
            .into_iter()
            .chain(variable)
            .collect();
        let output = run(&[command], &variables);
        let error = text(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{command} {variables:?}");
        assert!(
            error.starts_with("molelug: ") && error.contains(expected),
            "{expected}: {error}"
        );
    }
}

/// Covers RELAY_FD, RELAY_ADMIN_ADDR and TMPDIR as the platform sets them for a hot restart.
#[test]
fn inherited_socket_and_handover_folder_are_used() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let gateway = Gateway::start_with_socket(&socket, &[], None);
    assert_eq!(gateway.platform, socket.local_addr().expect("an address"));
    assert!(gateway.folder.join("tmp/molelug-handover").is_dir());
    assert!(gateway.ask(b"telemetry\n").starts_with("200 OK\n"));
}

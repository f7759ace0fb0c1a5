//! The command line, and the example and deployment files.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_molelug"));
    command
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env_remove("RELAY_CONFIG")
        .args(args);
    command.output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn example_and_deployment_files_are_valid() {
    for operator in ["examples/webhooks.toml", "deploy/webhooks.toml"] {
        let out = run(&[
            "check-config",
            "--operator",
            operator,
            "examples/gateway.json",
        ]);
        assert!(out.status.success(), "{operator}: {}", text(&out.stderr));
        assert!(text(&out.stdout).contains("2 classes, 1 tenants, 1 notices known"));
    }
}

#[test]
fn errors_are_one_line_and_contain_no_secrets() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("operator.toml");
    let error_for = |content: &str| {
        std::fs::write(&path, content).unwrap();
        let out = run(&[
            "check-config",
            "--operator",
            &path.display().to_string(),
            "examples/gateway.json",
        ]);
        assert!(!out.status.success(), "{content}");
        let error = text(&out.stderr);
        assert!(
            error.starts_with("molelug: ") && !error.contains("panicked"),
            "{error}"
        );
        assert!(!error.contains("tooshort"), "{error}");
        error
    };
    let tenant = "[[tenants]]\nname = \"a\"\nsecrets = [\"whsec_tooshort\"]\n";
    assert!(error_for(tenant).contains("a secret is"));
    assert!(error_for("[webhooks]\nlisten = \"nowhere\"\n").contains("cannot be used"));
    assert!(error_for("[webhook]\n").contains("unknown field"));
    let admin =
        "[admin]\nlisten = \"0.0.0.0:1\"\ntrust_domain = \"t\"\naudience = \"a\"\nbundle = \"b\"\n";
    assert!(
        error_for(admin).contains("admin.listen"),
        "only loopback addresses are allowed"
    );
    std::fs::remove_dir_all(&folder).unwrap();
    for (args, what) in [
        (&["serve"][..], "RELAY_CONFIG is not set"),
        (&["check-config", "README.md"], "README.md cannot be used"),
        (
            &["check-config", "no-such-file"],
            "cannot read no-such-file",
        ),
    ] {
        let out = run(args);
        assert!(
            !out.status.success() && text(&out.stderr).contains(what),
            "{}",
            text(&out.stderr)
        );
    }
}

#[test]
fn version_matches_the_crate() {
    assert_eq!(
        text(&run(&["version"]).stdout),
        format!("molelug {}\n", env!("CARGO_PKG_VERSION"))
    );
}

#[test]
fn webhook_and_store_commands_work() {
    use std::io::Write;
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("hand-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str| folder.join(name).display().to_string();
    // The example of the webhook specification.
    std::fs::write(file("secret"), "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw\n").unwrap();
    let with_body = |args: &[&str], body: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_molelug"))
            .args(args)
            .stdin(std::process::Stdio::piped())
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .spawn()
            .unwrap();
        child
            .stdin
            .take()
            .unwrap()
            .write_all(body.as_bytes())
            .unwrap();
        child.wait_with_output().unwrap()
    };
    let (secret, id, stamp) = (file("secret"), "msg_p5jXN8AQM9LWM0D4loKWxJek", "1614265330");
    let common = ["--secret-file", &secret, "--id", id, "--timestamp", stamp];
    let out = with_body(
        &[&["webhook", "sign"], &common[..]].concat(),
        "{\"test\": 2432232314}",
    );
    let good = "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=";
    assert!(
        text(&out.stdout).contains(&format!("webhook-signature: {good}\n")),
        "{}",
        text(&out.stdout)
    );
    for (body, holds) in [
        ("{\"test\": 2432232314}", true),
        ("{\"test\": 2432232315}", false),
    ] {
        let out = with_body(
            &[&["webhook", "verify"], &common[..], &["--signature", good]].concat(),
            body,
        );
        assert_eq!(out.status.success(), holds, "{body}");
        assert!(!text(&out.stderr).contains("MfKQ9"));
    }
    let store = file("store");
    drop(molelug::store::disk::Disk::open(std::path::Path::new(&store), 1 << 20, 1).unwrap());
    assert_eq!(text(&run(&["store", "check", &store]).stdout), "sound\n");
    assert!(text(&run(&["store", "stat", &store]).stdout).contains("\"waiting\":0"));
    assert!(run(&["store", "export", &store]).status.success());
    assert!(run(&["store", "compact", &store]).status.success());
    std::fs::write(file("letter"), "not a store").unwrap();
    for (name, what) in [
        ("letter", "not a store of this program"),
        ("none", "there is no"),
    ] {
        let out = run(&["store", "stat", &file(name)]);
        assert!(
            !out.status.success() && text(&out.stderr).contains(what),
            "{}",
            text(&out.stderr)
        );
    }
    assert!(
        !std::path::Path::new(&file("none")).exists(),
        "a wrong path creates no store"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

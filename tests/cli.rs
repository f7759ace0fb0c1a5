//! The command line, and the files that come with the program.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_molelug"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).env_remove("RELAY_CONFIG").args(args);
    command.output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn the_files_that_come_with_it_can_be_used() {
    for operator in ["examples/webhooks.toml", "deploy/webhooks.toml"] {
        let out = run(&["check-config", "--operator", operator, "examples/gateway.json"]);
        assert!(out.status.success(), "{operator}: {}", text(&out.stderr));
        assert!(text(&out.stdout).contains("2 classes, 1 tenants, 1 notices known"));
    }
}

#[test]
fn what_cannot_be_used_is_told_in_a_line_and_without_secrets() {
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("operator.toml");
    let told = |content: &str| {
        std::fs::write(&path, content).unwrap();
        let out = run(&["check-config", "--operator", &path.display().to_string(), "examples/gateway.json"]);
        assert!(!out.status.success(), "{content}");
        let error = text(&out.stderr);
        assert!(error.starts_with("molelug: ") && !error.contains("panicked"), "{error}");
        assert!(!error.contains("tooshort"), "{error}");
        error
    };
    let tenant = "[[tenants]]\nname = \"a\"\nsecrets = [\"whsec_tooshort\"]\n";
    assert!(told(tenant).contains("a secret is"));
    assert!(told("[webhooks]\nlisten = \"nowhere\"\n").contains("cannot be used"));
    assert!(told("[webhook]\n").contains("unknown field"));
    let admin = "[admin]\nlisten = \"0.0.0.0:1\"\ntrust_domain = \"t\"\naudience = \"a\"\nbundle = \"b\"\n";
    assert!(told(admin).contains("admin.listen"), "on loopback alone");
    std::fs::remove_dir_all(&folder).unwrap();
    for (args, what) in [
        (&["serve"][..], "RELAY_CONFIG is not set"),
        (&["check-config", "README.md"], "README.md cannot be used"),
        (&["check-config", "no-such-file"], "cannot read no-such-file"),
    ] {
        let out = run(args);
        assert!(!out.status.success() && text(&out.stderr).contains(what), "{}", text(&out.stderr));
    }
}

#[test]
fn the_version_is_the_crates() {
    assert_eq!(text(&run(&["version"]).stdout), format!("molelug {}\n", env!("CARGO_PKG_VERSION")));
}

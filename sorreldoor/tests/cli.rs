//! Exit codes and messages of the binary, and its start on corrupt data folders.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sorreldoor"))
        .args(args)
        .output()
        .unwrap()
}

fn exit_and_output(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code().unwrap_or(-1),
        text(&output.stdout),
        text(&output.stderr),
    )
}

fn temp_dir(name: &str) -> PathBuf {
    let directory =
        std::env::temp_dir().join(format!("sorreldoor-cli-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

fn settings(directory: &std::path::Path, http: &str, listen: &str) -> String {
    let settings_file = directory.join("s.json");
    let data = directory.join("data");
    let text = format!(
        r#"{{"site":"s","regions":{{"a":["a1"]}},"node":"n","zone":"a1","http":"{http}",
           "listen":"{listen}","seeds":["{listen}"],"data":"{}"}}"#,
        data.display()
    );
    std::fs::write(&settings_file, text).unwrap();
    settings_file.display().to_string()
}

#[test]
fn usage_and_settings_errors_exit_with_2() {
    let directory = temp_dir("bad");
    let settings_file = settings(&directory, "127.0.0.1:1", "127.0.0.1:2");
    let (code, stdout, _) =
        exit_and_output(&run(&["core", "--settings", &settings_file, "--check"]));
    assert_eq!((code, &stdout[..]), (0, "settings are good\n"));
    let (code, _, stderr) = exit_and_output(&run(&[
        "core",
        "--settings",
        &settings_file,
        "--check",
        "--zone",
        "x",
    ]));
    assert_eq!(
        (code, &stderr[..]),
        (2, "settings: zone: \"x\" is in no region\n")
    );
    let (code, _, stderr) = exit_and_output(&run(&["core", "--settings", "/nowhere"]));
    assert!(
        code == 2 && stderr.contains("cannot read /nowhere"),
        "{stderr}"
    );
    assert_eq!(exit_and_output(&run(&[])).0, 2);
    assert_eq!(exit_and_output(&run(&["unknown-command"])).0, 2);
    let (code, _, stderr) = exit_and_output(&run(&["ctl", "get"]));
    assert_eq!(
        (code, &stderr[..]),
        (
            2,
            "ctl: --at: the address of at least one node is required\n"
        )
    );
    let (code, _, stderr) = exit_and_output(&run(&["ctl", "--at", "127.0.0.1:1", "get"]));
    assert!(code == 3 && stderr.contains("nothing was sent"), "{stderr}");
}

#[test]
fn an_occupied_port_exits_with_1_and_an_unusable_data_folder_fails() {
    let directory = temp_dir("port");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let occupied = listener.local_addr().unwrap().to_string();
    let settings_file = settings(&directory, "127.0.0.1:1", &occupied);
    let (code, _, stderr) = exit_and_output(&run(&["core", "--settings", &settings_file]));
    assert!(
        code == 1 && stderr.contains(&format!("listen: cannot bind {occupied}")),
        "{stderr}"
    );
    assert!(
        stderr.contains("E200") && !stderr.contains("E222"),
        "{stderr}"
    );
    std::fs::remove_dir_all(directory.join("data")).unwrap();
    std::fs::write(directory.join("data"), b"a file").unwrap();
    let (code, _, stderr) = exit_and_output(&run(&["core", "--settings", &settings_file]));
    assert!(code != 0 && stderr.contains("data"), "{stderr}");
}

/// The core continues blank under a new identity. It exits here only because its
/// port is occupied.
#[test]
fn a_corrupt_state_is_discarded_and_logged_once() {
    let directory = temp_dir("damaged");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let occupied = listener.local_addr().unwrap().to_string();
    let settings_file = settings(&directory, "127.0.0.1:1", &occupied);
    let start_core = || exit_and_output(&run(&["core", "--settings", &settings_file])).2;
    let state = directory.join("data").join("state-a");
    assert!(start_core().contains("E200"));
    let mut bytes = std::fs::read(&state).unwrap();
    bytes[50] ^= 1;
    std::fs::write(&state, bytes).unwrap();
    let first_start = start_core();
    assert!(first_start.contains("E222"), "{first_start}");
    assert!(first_start.contains("E200"), "{first_start}");
    let later_start = start_core();
    assert!(
        !later_start.contains("E222") && !later_start.contains("E200"),
        "{later_start}"
    );
}

/// The file `image` is where the previous release stored its snapshot.
#[test]
fn a_corrupt_image_of_the_previous_release_is_discarded() {
    let directory = temp_dir("image");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let occupied = listener.local_addr().unwrap().to_string();
    let settings_file = settings(&directory, "127.0.0.1:1", &occupied);
    let data = directory.join("data");
    std::fs::create_dir_all(&data).unwrap();
    std::fs::write(data.join("image"), b"not an image").unwrap();
    let (_, _, stderr) = exit_and_output(&run(&["core", "--settings", &settings_file]));
    assert!(
        stderr.contains("E222") && stderr.contains("E200"),
        "{stderr}"
    );
    assert!(!data.join("image").exists());
}

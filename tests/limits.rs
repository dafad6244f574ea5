//! Limits on the decision module, which is printed and read by on-call staff: length, line width, and no access to
//! clocks, threads, globals or I/O.
const STATE: &str = include_str!("../src/state.rs");
const MODULE: &str = include_str!("../src/choice.rs");
/// The files listed under `policy` in deploy/balancer.toml.
const POLICY: [(&str, &str); 3] = [
    ("src/choice.rs", MODULE),
    ("src/limit.rs", include_str!("../src/limit.rs")),
    ("src/slots.rs", include_str!("../src/slots.rs")),
];

#[test]
fn the_module_stays_short_and_narrow() {
    // Lines of code: blank lines and comment lines do not count.
    let is_code = |l: &&str| !l.trim().is_empty() && !l.trim().starts_with("//");
    let count = |text: &str| text.lines().filter(is_code).count();
    let with_state = count(MODULE) + count(STATE);
    assert!(with_state <= 1200, "{with_state} lines");
    let policy: usize = POLICY.iter().map(|(_, text)| count(text)).sum();
    assert!(policy <= 1200, "{policy} lines");
    for (file, text) in POLICY {
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 120, "{file}, line {}: {} columns", n + 1, line.chars().count());
        }
    }
}

#[test]
fn the_deploy_file_lists_all_decision_files() {
    let deploy = include_str!("../deploy/balancer.toml");
    let line = deploy.lines().find(|l| l.starts_with("policy")).expect("a policy");
    assert_eq!(line.matches(".rs").count(), POLICY.len());
    assert!(POLICY.iter().all(|(file, _)| line.contains(file)), "{line}");
}

#[test]
fn the_module_doc_names_the_interface() {
    let head: String = MODULE.lines().take(8).collect();
    assert!(head.contains("src/interface.rs"));
}

#[test]
fn decision_files_use_no_clock_thread_global_or_io() {
    for word in [
        "std::time",
        "std::thread",
        "std::io",
        "std::env",
        "\nstatic ",
        "pub static ",
        "println!",
        "unsafe {",
    ] {
        for (file, text) in POLICY.into_iter().chain([("src/state.rs", STATE)]) {
            assert!(!text.contains(word), "{word} in {file}");
        }
    }
}

use super::*;

#[test]
fn events_are_counted_by_their_reasons() {
    let diagnostics = Diagnostics::new(None);
    for reason in ["idle", "too many connections", "idle"] {
        diagnostics.count(Event::Close, reason);
    }
    diagnostics.count(Event::Violation, "send_of_unknown");
    assert_eq!(
        diagnostics.summary(),
        "close.idle=2 close.too_many_connections=1 violation.send_of_unknown=1"
    );
    assert_eq!((diagnostics.total(Event::Close), diagnostics.total(Event::Retry)), (3, 0));
    diagnostics.trace("sent", || panic!("fields are not built without a trace"));
}

#[test]
fn a_trace_has_one_json_object_per_line() {
    let path = std::env::temp_dir().join(format!("sandgap-trace-{}", std::process::id()));
    let diagnostics = Diagnostics::new(Some(&path));
    diagnostics.trace("sent", || json!({"request": 7}));
    let text = std::fs::read_to_string(&path).expect("a file");
    let line: Value = serde_json::from_str(text.trim()).expect("an object");
    assert!(line["request"] == 7 && line["event"] == "sent" && line["ms"].is_f64());
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_full_disk_ends_only_the_trace() {
    let diagnostics = Diagnostics::new(Some(Path::new("/dev/full")));
    diagnostics.trace("sent", || json!({}));
    diagnostics.trace("sent", || panic!("the trace has ended"));
    assert!(Diagnostics::new(Some(Path::new("/nowhere/at/all"))).summary().is_empty());
}

//! Tests of the adapter binary on short inputs.
use std::io::Write;
use std::process::{Command, Stdio};

fn wirehost(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wharfhitch-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(input.as_bytes()).unwrap();
    drop(stdin);
    let out = child.wait_with_output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

const PARAMS: &str = r#"{"classes":[{"name":"page","effect":"idempotent","promise":300,"deadline":900},{"name":"odd","effect":"newfangled","promise":300,"deadline":900}],"nInstances":1,"myNumber":0,"unheard":{"of":[1]},"zone":"a","zones":["a"],"flavors":["k"],"rules":{"drainGrace":100,"cold":1000,"fall":500,"fallMultiple":3,"startCapacity":0.5},"ceilings":{"maxAttempts":3,"secondCopies":true}}"#;

fn start(i: u32) -> String {
    format!(
        "UP\ti={i}\trandomSeed=5\tparams={PARAMS}\nTOPOLOGY\ti={i}\tscope=cached\tstamp=1\tnodesList=2\n\
         ITEM\tbackend=b.one\tfailureDomain=a\tshape=k\tcell=0\tstate=up\trating=1\n\
         ITEM\tbackend=b.two\tfailureDomain=a\tshape=k\tcell=0\tstate=up\trating=1\n"
    )
}

#[test]
fn empty_batch_and_empty_input() {
    assert_eq!(wirehost("FRAME\tts=1.5\nGO\n"), (true, "EOR\n".into(), String::new()));
    assert_eq!(wirehost(""), (true, String::new(), String::new()));
}

#[test]
fn a_request_is_sent_and_a_failed_unsafe_one_is_not_sent_again() {
    let input = format!(
        "FRAME\tts=10\n{}ARRIVAL\ti=0\trid=r-x\ttierClass=odd\ttimeBudget=900\nGO\n\
         FRAME\tts=40\nOUTCOME\ti=0\trid=r-x\tbackend=b.one\tlatency=30\tsendNo=0\treason=never-heard-of\nGO\n",
        start(0)
    );
    let (ok, out, err) = wirehost(&input);
    assert!(ok, "{err}");
    let replies: Vec<&str> = out.split("EOR\n").collect();
    assert!(replies[0].contains("SUBMIT_TO\ti=0\trid=r-x\tbackend=b."), "{out}");
    // The unknown effect counts as unsafe and the unknown outcome as one that may have run.
    assert!(replies[1].contains("REPORT_FAILURE\ti=0\trid=r-x"), "{out}");
    assert!(!replies[1].contains("SUBMIT_TO") && !replies[1].contains("TURN_AWAY"), "{out}");
}

#[test]
fn unknown_messages_fields_and_instances_are_skipped() {
    let input = format!(
        "FRAME\tts=10\tmore=1\n{}NOVELTY\ti=0\tx=1\nITEM\tq=1\nDEADLINE_HIT\ti=9\tkeyBack=0\n\
         ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\tcolour=red\nGO\n",
        start(0)
    );
    let (ok, out, err) = wirehost(&input);
    assert!(ok, "{err}");
    assert!(out.contains("rid=r-1"), "{out}");
}

#[test]
fn malformed_lines_fail_with_their_line_number() {
    for (line, at) in [
        ("ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=soon\n", "line 6"),
        ("ARRIVAL\ti=0\trid=r-1\ttierClass=page\n", "line 6"),
        ("ARRIVAL\ti=0\trid=r-1\ttierClass=none\ttimeBudget=5\n", "line 6"),
        ("ARRIVAL\ti=zero\trid=r-1\n", "line 6"),
        ("ARRIVAL\tnonsense\n", "line 6"),
        ("TOPOLOGY\ti=0\tscope=delta\tnodesList=1\nGO\n", "line 7"),
        ("NOTE_FROM\ti=0\twho=1\tmsg=***\n", "line 6"),
    ] {
        let (ok, _, err) = wirehost(&format!("FRAME\tts=10\n{}{line}GO\n", start(0)));
        assert!(!ok, "accepted {line}");
        assert!(err.contains(at), "{line}: {err}");
    }
}

#[test]
fn a_restart_drops_state_and_instances_are_independent() {
    let ask = |i: u32, r: &str| format!("ARRIVAL\ti={i}\trid={r}\ttierClass=page\ttimeBudget=900\n");
    let alone = format!("FRAME\tts=10\n{}{}GO\n", start(1), ask(1, "r-1"));
    let both = format!("FRAME\tts=10\n{}{}{}{}GO\n", start(0), start(1), ask(0, "r-0"), ask(1, "r-1"));
    let of_one =
        |out: &str| out.lines().filter(|l| l.contains("\ti=1\t")).map(str::to_owned).collect::<Vec<_>>();
    assert_eq!(of_one(&wirehost(&alone).1), of_one(&wirehost(&both).1));
    let again = format!(
        "{alone}FRAME\tts=20\nCRASH_NOW\ti=1\n{}OUTCOME\ti=1\trid=r-1\tbackend=b.one\tsendNo=0\treason=completed\nGO\n",
        start(1)
    );
    let (ok, out, err) = wirehost(&again);
    assert!(ok, "{err}");
    assert!(!out.split("EOR\n").nth(1).unwrap().contains("r-1"), "{out}");
}

#[test]
fn extreme_numbers_do_not_panic_and_nan_is_rejected() {
    for (from, to) in [
        ("\"nInstances\":1", "\"nInstances\":1e18"),
        ("\"myNumber\":0", "\"myNumber\":-4"),
        ("\"promise\":300", "\"promise\":-1"),
        ("\"cold\":1000", "\"cold\":0"),
        ("\"fallMultiple\":3", "\"fallMultiple\":1e300"),
        ("rating=1", "rating=1e300"),
        ("rating=1", "rating=-3"),
    ] {
        let input = format!(
            "FRAME\tts=10\n{}ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\nGO\n\
             FRAME\tts=2000\nDEADLINE_HIT\ti=0\tkeyBack=0\nGO\n",
            start(0).replace(from, to)
        );
        let (ok, out, err) = wirehost(&input);
        assert!(ok, "{to}: {err}");
        assert!(!out.contains("EXCEPTION"), "{to}: {out}");
    }
    let input = format!("FRAME\tts=10\n{}DEADLINE_HIT\ti=0\tkeyBack=NaN\nGO\n", start(0));
    assert!(!wirehost(&input).0, "a timer token that is not a number");
}

#[test]
fn kill_and_start_in_one_batch_and_answer_with_hangup() {
    let ask = "ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\n";
    let end = "OUTCOME\ti=0\trid=r-1\tbackend=b.one\tlatency=9\tsendNo=0\tclosed=1\treason=completed\n";
    let input = format!(
        "FRAME\tts=10\n{}{ask}GO\nFRAME\tts=20\nCRASH_NOW\ti=0\n{}GO\n\
         FRAME\tts=30\n{}GO\nFRAME\tts=40\n{end}HANGUP\ti=0\trid=r-2\nHANGUP\ti=0\trid=r-2\nGO\n",
        start(0),
        start(0),
        ask.replace("r-1", "r-2")
    );
    let (ok, out, err) = wirehost(&input);
    assert!(ok, "{err}");
    let replies: Vec<&str> = out.split("EOR\n").collect();
    assert!(replies[2].contains("SUBMIT_TO\ti=0\trid=r-2"), "the new start serves: {out}");
    assert!(
        !replies[3].contains("r-1") && !replies[3].contains("r-2"),
        "no reply for finished requests: {out}"
    );
}

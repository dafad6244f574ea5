//! Releases in waves, in fleets of sandgap processes under load: the commands by which backends are changed.
mod processes;
mod sockets;

use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use processes::*;
use serde_json::Value;
use sockets::*;

const BACKENDS: usize = 4;
const CLIENTS: usize = 9;

/// Three voters, four backends that can each be made to fail, a budget of one out at once, and clients under load.
struct TestFleet<'a> {
    fleet: Fleet<'a>,
    bad: Vec<Arc<AtomicBool>>,
    _proxies: Vec<Proxy>,
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
    /// Answers other than 200, and requests without an answer.
    failed: Arc<AtomicUsize>,
}

impl<'a> TestFleet<'a> {
    fn new(folder: &'a TempFolder) -> Self {
        let bad: Vec<Arc<AtomicBool>> = (0..BACKENDS).map(|_| Arc::default()).collect();
        let backends: Vec<Backend> = bad
            .iter()
            .map(|bad| {
                let bad = bad.clone();
                Backend::with(move |_| {
                    thread::sleep(Duration::from_millis(8));
                    Action::Write(if bad.load(Ordering::SeqCst) { empty("500 Oops") } else { ok("well") })
                })
            })
            .collect();
        let fleet = Fleet::new(folder, 3, &backends.iter().collect::<Vec<_>>());
        let proxies = vec![fleet.start(0), fleet.start(1), fleet.start(2)];
        fleet.publish(3);
        let set = fleet.fleet_command(0, &["budget", "--set", "backend:fleet:1"]);
        assert!(set.status.success(), "{set:?}");
        wait_for("all to be seen healthy", || {
            let known = json(&fleet.fleet_command(0, &["outs", "--json"]));
            let targets = known["targets"].as_array().cloned().unwrap_or_default();
            targets.len() == 3 + BACKENDS && targets.iter().all(|t| t["lost"] == false)
        });
        let (stop, failed) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let clients =
            (0..CLIENTS).map(|c| client(c, proxies[c % 3].address, stop.clone(), failed.clone())).collect();
        TestFleet { fleet, bad, _proxies: proxies, stop, clients, failed }
    }

    fn release(&self, words: &[&str]) -> Output {
        self.fleet.fleet_command(0, &[&["release"], words].concat())
    }

    fn plan(&self, more: &[&str]) {
        let plan = [
            "plan", "spring", "--from", "1.4", "--to", "1.5", "--wave", "b1", "--wave", "b2,b3", "--soak",
            "0.3",
        ];
        let planned = self.release(&[&plan[..], &["--margin", "20"], more].concat());
        assert!(planned.status.success(), "{planned:?}");
        let begun = self.release(&["begin", "spring"]);
        assert!(begun.status.success(), "{begun:?}");
    }

    fn stage(&self) -> String {
        let output = self.release(&["status", "--json"]);
        json(&output)["stage"].as_str().unwrap_or_default().to_owned()
    }

    /// Applies `change` to each backend that is out for the release, once; returns their names and the versions they run
    /// then.
    fn work(&self, change: impl Fn(usize, &str)) -> Vec<(String, String)> {
        let output = self.release(&["work", "spring"]);
        let mut done = Vec::new();
        for line in String::from_utf8_lossy(&output.stdout).lines() {
            let words: Vec<&str> = line.split(' ').collect();
            let [target, permit, label] = words[..] else { panic!("{line}") };
            change(target[1..].parse().expect("a number"), label);
            let back = self.fleet.fleet_command(0, &["back", target, "--permit", permit, "--runs", label]);
            assert!(back.status.success(), "{back:?}");
            done.push((target.to_owned(), label.to_owned()));
        }
        done
    }
}

impl Drop for TestFleet<'_> {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|c| drop(c.join()));
    }
}

fn json(output: &Output) -> Value {
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn client(
    n: usize, proxy: std::net::SocketAddr, stop: Arc<AtomicBool>, failed: Arc<AtomicUsize>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut client = Client::connect(proxy);
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let text = format!(
                "GET /page/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: c{n}-{number}\r\nX-Timeout: 5\r\nContent-Length: 0\r\n\r\n"
            );
            match client.request(&text) {
                Some(answer) if answer.status() == 200 => {}
                Some(_) => drop(failed.fetch_add(1, Ordering::SeqCst)),
                None => {
                    failed.fetch_add(1, Ordering::SeqCst);
                    client = Client::connect(proxy);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    })
}

#[test]
fn a_good_release_passes_its_waves_and_fails_no_request() {
    let folder = TempFolder::new("release-good");
    let site = TestFleet::new(&folder);
    site.plan(&[]);
    let mut changed = Vec::new();
    wait_for("its end", || {
        changed.extend(site.work(|_, _| {}));
        site.stage() == "done"
    });
    changed.sort();
    let to = |name: &str| (name.to_owned(), "1.5".to_owned());
    assert_eq!(changed, [to("b1"), to("b2"), to("b3")]);
    assert_eq!(site.failed.load(Ordering::SeqCst), 0, "no request is lost or refused for a release");
}

#[test]
fn a_bad_release_is_halted_at_its_canary_and_rolled_back() {
    let folder = TempFolder::new("release-bad");
    let site = TestFleet::new(&folder);
    site.plan(&["--patience-for-finding", "60"]);
    let mut changed = Vec::new();
    wait_for("its rollback", || {
        changed.extend(site.work(|n, label| site.bad[n].store(label == "1.5", Ordering::SeqCst)));
        site.stage() == "went back"
    });
    assert_eq!(
        changed,
        [("b1".into(), "1.5".into()), ("b1".into(), "1.4".into())],
        "the canary alone, and back"
    );
    let record = output_text(&site.fleet.fleet_command(0, &["outs"]));
    record.lines().filter(|line| line.contains("the gate")).for_each(|line| println!("{line}"));
    assert!(record.contains("the gate"), "{record}");
}

#[test]
fn operators_halt_resume_and_roll_back_a_release() {
    let folder = TempFolder::new("release-halt");
    let site = TestFleet::new(&folder);
    site.plan(&[]);
    let halted = site.release(&["halt", "spring", "--why", "the exam begins"]);
    assert!(halted.status.success(), "{halted:?}");
    assert!(site.stage().contains("the exam begins"), "{}", site.stage());
    let again = site.release(&["begin", "spring"]);
    assert_eq!(again.status.code(), Some(1), "{again:?}");
    assert!(site.release(&["resume", "spring"]).status.success());
    let mut changed = Vec::new();
    wait_for("the canary's change", || {
        changed.extend(site.work(|_, _| {}));
        changed.iter().any(|(_, label)| label == "1.5")
    });
    assert!(site.release(&["back", "spring"]).status.success());
    wait_for("its rollback", || {
        changed.extend(site.work(|_, _| {}));
        site.stage() == "went back"
    });
    assert_eq!(changed.last().map(|(_, label)| label.as_str()), Some("1.4"), "{changed:?}");
    let unknown = site.release(&["halt", "autumn", "--why", "x"]);
    assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
}

//! Lists of the size of the largest planned fleets: backends by discovery and by file, and peers.
mod sockets;

use std::net::UdpSocket;
use std::process::Command;
use std::thread;
use std::time::Duration;

use sockets::*;

/// Sizes that are tested: the least that a bound may be, and four times that.
const SIZES: [usize; 2] = [1024, 4096];
/// Memory a proxy may use with such lists, in KiB: a third of the most the platform gives.
const MEMORY_KIB: usize = 64 << 10;

fn serves(proxy: &Proxy, requests: usize, what: &str) {
    for n in 0..requests {
        assert_eq!(
            status(Client::new(proxy).request(&page(&format!("{what}-{n}")))),
            200,
            "{what}, request {n}"
        );
    }
    let held = proxy.resident_kib();
    eprintln!("{what}: {held} KiB");
    assert!(held < MEMORY_KIB, "{what}: {held} KiB");
}

#[test]
fn thousands_of_backends_by_discovery_are_used_and_drained() {
    for size in SIZES {
        let (many, last) = (Backend::new(Action::Write(ok("many"))), Backend::new(Action::Write(ok("last"))));
        let discovery = Discovery::new();
        let name = |n: usize| format!("s-{n:05}");
        let lines =
            |health| (0..size - 1).map(|n| host(&name(n), many.address, health, 0)).collect::<Vec<_>>();
        let mut all = lines("up");
        all.push(host(&name(size - 1), last.address, "up", 0));
        discovery.publish(&list(1, true, &all));
        let proxy = Proxy::up(&discovery, &Setup::default());
        serves(&proxy, 50, &format!("{size} backends by discovery"));
        discovery.publish(&list(2, false, &lines("draining")));
        wait_until_only(&proxy, "the drains", "last");
        serves(&proxy, 10, &format!("{size} backends, all but one drained"));
    }
}

/// Backends on a list that the least memory has no room for.
const TOO_MANY: usize = 20_000;

/// Backends of the largest planned fleet.
const MOST: usize = 36_000;

/// A list of `count` backends at one address, followed by some `own` ones at another.
fn many_hosts(seq: u64, count: usize, many: &Backend, own: &[&str], last: &Backend) -> String {
    let name = |n: usize| format!("s-{n:05}");
    let first = (0..count).map(|n| host(&name(n), many.address, "up", 0));
    let own = own.iter().enumerate().map(|(n, health)| host(&format!("own-{n}"), last.address, health, 0));
    list(seq, true, &first.chain(own).collect::<Vec<_>>())
}

#[test]
fn a_list_too_large_for_the_memory_limit_keeps_the_known_backends_and_their_drains() {
    let (many, last) = (Backend::new(Action::Write(ok("many"))), Backend::new(Action::Write(ok("last"))));
    for (memory_mb, is_first) in [(16, false), (16, true), (24, false), (24, true)] {
        let what = format!("{TOO_MANY} backends, {memory_mb} MB, as the first list: {is_first}");
        let discovery = Discovery::new();
        if is_first {
            discovery.publish(&many_hosts(1, TOO_MANY, &many, &[], &last));
        } else {
            discovery.publish(&list(1, true, &[host("own-0", last.address, "up", 0)]));
        }
        let proxy = Proxy::up(&discovery, &Setup { memory_mb, ..Setup::default() });
        discovery.publish(&many_hosts(2, TOO_MANY, &many, &["up"], &last));
        wait_for("the refusal", || proxy.log_contains("memory_mb"));
        for n in 0..50 {
            let answer = Client::new(&proxy).request(&page(&format!("{what}-{n}")));
            assert_eq!(status(answer), 200, "{what}, request {n}");
        }
        discovery.publish(&many_hosts(3, TOO_MANY, &many, &["draining"], &last));
        wait_until_only(&proxy, "the drain", "many");
        let peak_mb = proxy.peak_resident_kib() as f64 / 1024.0;
        println!("{what}: peak {peak_mb:.1} MB");
        assert!(peak_mb < memory_mb as f64, "{what}: {peak_mb:.1} MB");
    }
}

#[test]
fn a_list_of_the_largest_fleet_is_used_whole_with_the_memory_for_it() {
    let (many, last) = (Backend::new(Action::Write(ok("many"))), Backend::new(Action::Write(ok("last"))));
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("own-0", last.address, "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { memory_mb: 256, ..Setup::default() });
    discovery.publish(&many_hosts(2, MOST, &many, &["draining"], &last));
    wait_until_only(&proxy, "the drain", "many");
    assert!(!proxy.log_contains("memory_mb") && proxy.log_contains("36000 up, 1 draining"));
    println!("{MOST} backends: peak {} KiB", proxy.peak_resident_kib());
    assert!(proxy.peak_resident_kib() < 256 << 10);
}

#[test]
fn a_list_too_long_to_be_read_leaves_the_list_before_it_and_names_the_setting() {
    let (many, last) = (Backend::new(Action::Write(ok("many"))), Backend::new(Action::Write(ok("last"))));
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("own-0", last.address, "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { memory_mb: 16, ..Setup::default() });
    discovery.publish(&many_hosts(2, 2 * MOST, &many, &[], &last));
    wait_for("the refusal", || proxy.log_contains("memory_mb"));
    for n in 0..20 {
        let answer = Client::new(&proxy).request(&page(&format!("known-{n}"))).expect("an answer");
        assert_eq!(answer.text(), "last", "the known backend is still used");
    }
    println!("{} backends: peak {} KiB", 2 * MOST, proxy.peak_resident_kib());
    assert!(proxy.peak_resident_kib() < 16 << 10);
}

/// Backends that 32 MB have room for, but not beside [`CROWD`] bodies.
const TIGHT: usize = 3700;
/// Clients that stop within a body of 60 kB, for which a process with 32 MB has room.
const CROWD: usize = 100;

#[test]
fn backends_left_out_for_a_crowd_are_asked_for_again_when_there_is_room() {
    let (many, last) = (Backend::new(Action::Write(ok("many"))), Backend::new(Action::Write(ok("last"))));
    let discovery = Discovery::new();
    let proxy = Proxy::start(&discovery, &Setup { memory_mb: 32, sockets: 1024, ..Setup::default() });
    let crowd: Vec<Client> = (0..CROWD)
        .map(|n| {
            let mut client = Client::new(&proxy);
            let text = submit(&format!("crowd-{n}"), "5", &"x".repeat(60_000));
            client.send(&text[..text.len() - 2000]);
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    discovery.publish(&many_hosts(1, TIGHT, &many, &["up"], &last));
    wait_for("the refusal", || proxy.log_contains("memory_mb"));
    drop(crowd);
    wait_for("the whole list", || proxy.log_contains(&format!("{} up", TIGHT + 1)));
    assert!(proxy.log_contains("there is room now"));
    assert!(proxy.peak_resident_kib() < 32 << 10);
}

#[test]
fn thousands_of_backends_by_file_are_checked_and_used() {
    for size in SIZES {
        let backend = Backend::new(Action::Write(ok("")));
        let mut settings = String::from(
            "[proxy]\nlisten = \"127.0.0.1:0\"\n[[class]]\nname = \"page\"\neffect = \"safe\"\ndeadline_ms = 5000\n",
        );
        settings += &format!("[[backend]]\nname = \"s\"\naddress = \"{}\"\n", backend.address);
        for n in 1..size {
            let address = format!("127.112.{}.{}:9", n / 256, n % 256);
            settings +=
                &format!("[[backend]]\nname = \"s-{n}\"\naddress = \"{address}\"\nstate = \"draining\"\n");
        }
        for n in 0..size {
            settings += &format!("[[tenant]]\nname = \"t-{n}\"\n");
        }
        settings += "[[tenant]]\nname = \"acme\"\n";
        let file = toml_file(&settings);
        let check =
            Command::new(env!("CARGO_BIN_EXE_sandgap")).arg("check").arg(&file).output().expect("it runs");
        let _ = std::fs::remove_file(&file);
        assert!(check.status.success(), "{size}: {}", String::from_utf8_lossy(&check.stdout));
        let proxy = Proxy::serve(&settings);
        serves(&proxy, 20, &format!("{size} backends and tenants by file"));
    }
}

#[test]
fn datagrams_of_the_last_of_thousands_of_peers_are_accepted() {
    for size in SIZES {
        let backend = Backend::new(Action::Write(ok("")));
        let discovery = Discovery::new();
        discovery.publish(&list_all_up(&[&backend]));
        let other = UdpSocket::bind("127.0.0.1:0").expect("a port");
        other.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        // An address used by this test only, so that no other test takes the port meanwhile.
        let own = UdpSocket::bind("127.93.17.6:0").expect("a port").local_addr().expect("bound");
        let may_tell = Some((own, other.local_addr().expect("bound")));
        let setup = Setup { may_tell, further_peers: size - 2, ..Setup::default() };
        let proxy = Proxy::up(&discovery, &setup);
        let (_, from) = other.recv_from(&mut [0; 512]).expect("a report of this proxy");
        assert_eq!(from, own);
        other.send_to(&[1, 2, 3], own).expect("sent");
        let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let strange = stranger.local_addr().expect("bound");
        stranger.send_to(&[1, 2, 3], own).expect("sent");
        wait_for("a log line about the stranger", || {
            proxy.log_contains(&format!("from {strange} is dropped"))
        });
        assert!(!proxy.log_contains(&format!("from {} is dropped", other.local_addr().expect("bound"))));
        // Its share of the only backend is nothing; the proxy may refuse the request and goes on.
        let answer = status(Client::new(&proxy).request(&page("r-1")));
        assert!([200, 503].contains(&answer), "{size} peers: {answer}");
        let held = proxy.resident_kib();
        eprintln!("{size} peers: {held} KiB");
        assert!(held < MEMORY_KIB, "{size} peers: {held} KiB");
    }
}

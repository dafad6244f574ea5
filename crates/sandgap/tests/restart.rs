//! What becomes of each connection that is open at SIGTERM, whatever its client is about to do on it: an answer, or an
//! end from which the client knows that nobody has taken its request.
mod sockets;

use std::collections::BTreeMap;

use sockets::*;

/// Connections of each kind.
const EACH: usize = 20;

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    /// Answered as it should be, and the connection closed after it.
    Served,
    /// The connection ended with no answer, and no backend has heard of the request: its client sends it again.
    Untaken,
    /// Neither.
    Lost,
}

fn ended(client: &mut Client, backend: &Backend, id: &str) -> End {
    let answer = client.answer();
    let reached = backend.seen().iter().any(|m| m.id() == id);
    match answer {
        Some(a) if a.status() == 200 && a.text() == "well" && client.is_closed() => End::Served,
        None if !reached => End::Untaken,
        other => {
            println!("{id}: {other:?}, reached {reached}");
            End::Lost
        }
    }
}

#[test]
fn every_connection_that_is_open_at_sigterm_gets_an_answer_or_an_untaken_end() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |request| match request.id().starts_with("held") {
        true => Deed::Hold(held.clone(), ok("well")),
        false => Deed::Write(ok("well")),
    });
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let setup = Setup { sockets: 1024, ..Setup::default() };
    let mut proxy = Proxy::up(&discovery, &setup);
    let open = || -> Vec<Client> { (0..EACH).map(|_| Client::new(&proxy)).collect() };
    let whole = |id: &str| submit(id, "5", "body");
    let name = |kind: &str, n: usize| format!("{kind}-{n}");

    let (mut idle, mut busy, mut piped, mut prompt) = (open(), open(), open(), open());
    for (n, client) in idle.iter_mut().enumerate() {
        assert_eq!(status(client.ask(&whole(&name("before", n)))), 200);
    }
    for n in 0..EACH {
        busy[n].send(&whole(&name("held-busy", n)));
        piped[n].send(&(whole(&name("held-first", n)) + &whole(&name("second", n))));
        prompt[n].send(&whole(&name("held-prompt", n)));
    }
    wait_for("the held requests", || backend.seen().len() == EACH * 4);
    // Opened now, as those that say nothing for long are closed in any case.
    let (mut silent, mut head, mut body) = (open(), open(), open());
    for n in 0..EACH {
        let text = whole(&name("head", n));
        head[n].send(&text[..text.len() / 2]);
        let text = whole(&name("body", n));
        body[n].send(&text[..text.len() - 2]);
    }

    proxy.terminate();
    let mut ends: BTreeMap<(&str, End), usize> = BTreeMap::new();
    let mut note = |kind, end| *ends.entry((kind, end)).or_default() += 1;
    // Clients go on as if nothing were: some of these cross the close of their connection.
    for n in 0..EACH {
        idle[n].send(&whole(&name("idle", n)));
        silent[n].send(&whole(&name("silent", n)));
        let text = whole(&name("head", n));
        head[n].send(&text[text.len() / 2..]);
        let text = whole(&name("body", n));
        body[n].send(&text[text.len() - 2..]);
    }
    for n in 0..EACH {
        note("idle, then a request", ended(&mut idle[n], &backend, &name("idle", n)));
        note("nothing sent yet", ended(&mut silent[n], &backend, &name("silent", n)));
        note("half a head", ended(&mut head[n], &backend, &name("head", n)));
        note("half a body", ended(&mut body[n], &backend, &name("body", n)));
    }
    gate.open();
    for n in 0..EACH {
        note("a request open", ended(&mut busy[n], &backend, &name("held-busy", n)));
        note("one open, one behind it", ended(&mut piped[n], &backend, &name("held-first", n)));
        let answer = prompt[n].answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        // Sent with the answer that says that no more is taken.
        prompt[n].send(&whole(&name("prompt", n)));
        note("one more with the last answer", ended(&mut prompt[n], &backend, &name("prompt", n)));
    }
    println!("{ends:#?}");
    assert!(proxy.wait().success());
    let lost: Vec<_> = ends.iter().filter(|((_, end), _)| *end == End::Lost).collect();
    assert!(lost.is_empty(), "{lost:?}");
    let served = |kind| ends.get(&(kind, End::Served)).copied().unwrap_or(0);
    for kind in
        ["nothing sent yet", "half a head", "half a body", "a request open", "one open, one behind it"]
    {
        assert_eq!(served(kind), EACH, "{kind}: {ends:?}");
    }
    let twice = |id: &str| backend.seen().iter().filter(|m| m.id() == id).count() > 1;
    assert!((0..EACH).all(|n| !twice(&name("idle", n)) && !twice(&name("held-busy", n))));
    let behind = backend.seen().iter().filter(|m| m.id().starts_with("second")).count();
    assert_eq!(behind, 0, "what stands behind the last answer is nobody's, as its client is told");
}

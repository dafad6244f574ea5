use sandgap_driver::Endpoint;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;
use wharfhitch::settings::Connections;

use super::*;

/// No wait takes longer, however loaded the machine.
const LIMIT: Duration = Duration::from_secs(30);

#[test]
fn a_connection_counts_for_as_long_as_its_socket_is_open() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let endpoint = Endpoint::new(1, listener.local_addr().expect("an address"), 0.0);
        let times = Connections { dial_timeout: 5000.0, idle_close: 30_000.0 };
        let upstreams = Upstreams::new(&times, 4, Diagnostics::new(None), Rc::default());
        let connection = upstreams.connection(&endpoint).await.expect("a connection");
        let (backend, _) = listener.accept().await.expect("it came");
        upstreams.park(&endpoint, connection, Duration::ZERO);
        assert_eq!(upstreams.in_use(), 1);
        drop(backend); // the backend closes it while it stands idle
        let has_ended = |u: &Upstreams| u.idle.borrow()[&1].iter().all(|i| i.connection.driver.is_finished());
        while !has_ended(&upstreams) {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(upstreams.in_use(), 1, "nobody has closed its socket yet");
        upstreams.sweep();
        assert_eq!(upstreams.in_use(), 0);
    };
    LocalSet::new().block_on(&runtime, async { timeout(LIMIT, play).await.expect("it ends in time") });
}

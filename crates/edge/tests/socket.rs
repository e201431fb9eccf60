//! Tests of socket options.

use std::{io, time::Duration};

use socket2::SockRef;
use span_edge::socket::{backlog, bind};
use tokio::net::TcpStream;

/// Setting the options on each connection was a third of the system calls of a
/// rejected request, so they are inherited from the listening socket. Without
/// them, a connection whose peer disappears would stay open.
#[tokio::test]
async fn accepted_connections_inherit_the_options() -> io::Result<()> {
    let listener = bind("127.0.0.1:0".parse().expect("an address"), 7_000, 64)?;
    let _caller = TcpStream::connect(listener.local_addr()?).await?;
    let (accepted, _) = listener.accept().await?;
    let socket = SockRef::from(&accepted);
    assert!(socket.tcp_nodelay()?);
    assert!(socket.keepalive()?);
    assert_eq!(socket.tcp_keepalive_time()?, Duration::from_secs(1));
    assert_eq!(socket.tcp_keepalive_interval()?, Duration::from_secs(1));
    assert_eq!(socket.tcp_keepalive_retries()?, 2);
    assert_eq!(socket.tcp_user_timeout()?, Some(Duration::from_millis(7_000)));
    Ok(())
}

/// With a backlog of 1,024, callers of an overloaded router with 0.12 of a core
/// were accepted only after more than a second (scenario scale-2 of
/// cordillera-rosemary-grown, seed 295355987593).
#[test]
fn backlog_follows_the_processor() {
    struct Case {
        processor_millicores: u32,
        backlog: i32,
    }
    let cases = [
        Case { processor_millicores: 0, backlog: 4_096 },
        Case { processor_millicores: 50, backlog: 64 },
        Case { processor_millicores: 120, backlog: 72 },
        Case { processor_millicores: 500, backlog: 300 },
        Case { processor_millicores: 64_000, backlog: 4_096 },
    ];
    for case in cases {
        let millicores = case.processor_millicores;
        assert_eq!(backlog(millicores), case.backlog, "{millicores} thousandths of a core");
    }
}

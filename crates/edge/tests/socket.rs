//! Guards the options of sockets.

use std::{io, time::Duration};

use socket2::SockRef;
use span_edge::socket::{backlog, bind};
use tokio::net::TcpStream;

/// Connections took the options one by one, which was a third of the system
/// calls of a refused request. Without them a connection that goes silent
/// would stay open.
#[tokio::test]
async fn accepted_connections_notice_silence() -> io::Result<()> {
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

/// With 1,024 waiting connections, callers of an overloaded router with 0.12 of
/// a core were accepted after more than a second (cordillera-rosemary-grown,
/// scale-2 --seed 295355987593).
#[test]
fn few_connections_wait_for_a_small_process() {
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

//! What a call without an answer proves about the process that was called.

use cloverpier_router::prelude::CallError;
use std::io;

fn connect(kind: io::ErrorKind) -> CallError {
    CallError::Connect {
        source: io::Error::from(kind),
    }
}

/// Guards against upstreams that are held for ended as their host or network cannot be reached.
#[test]
fn only_a_refused_connection_proves_that_no_process_listens() {
    assert!(connect(io::ErrorKind::ConnectionRefused).is_refused());
    let others = [
        io::ErrorKind::HostUnreachable,
        io::ErrorKind::NetworkUnreachable,
        io::ErrorKind::ConnectionReset,
        io::ErrorKind::TimedOut,
        io::ErrorKind::AddrNotAvailable,
    ];
    for kind in others {
        assert!(!connect(kind).is_refused(), "{kind:?}");
    }
}

#[test]
fn a_connection_that_is_reset_as_it_comes_up_broke() {
    let reason = "reset".to_owned();
    assert!(CallError::Broken { reason }.is_break());
    assert!(connect(io::ErrorKind::ConnectionReset).is_break());
    assert!(!connect(io::ErrorKind::ConnectionRefused).is_break());
    assert!(!CallError::TimedOut.is_break());
}

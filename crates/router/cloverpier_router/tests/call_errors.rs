//! What a failed call proves about the process at the called address.

use cloverpier_router::prelude::CallError;
use std::io;

fn connect_error(kind: io::ErrorKind) -> CallError {
    CallError::Connect {
        source: io::Error::from(kind),
    }
}

/// Guards against declaring an upstream's process gone when only its host or network can't be reached.
#[test]
fn only_a_refused_connection_proves_that_no_process_listens() {
    assert!(connect_error(io::ErrorKind::ConnectionRefused).is_refused());
    let others = [
        io::ErrorKind::HostUnreachable,
        io::ErrorKind::NetworkUnreachable,
        io::ErrorKind::ConnectionReset,
        io::ErrorKind::TimedOut,
        io::ErrorKind::AddrNotAvailable,
    ];
    for kind in others {
        assert!(!connect_error(kind).is_refused(), "{kind:?}");
    }
}

#[test]
fn a_reset_while_connecting_counts_as_a_broken_connection() {
    let reason = "reset".to_owned();
    assert!(CallError::Broken { reason }.is_break());
    assert!(connect_error(io::ErrorKind::ConnectionReset).is_break());
    assert!(!connect_error(io::ErrorKind::ConnectionRefused).is_break());
    assert!(!CallError::TimedOut.is_break());
}

//! Processes of stand-ins.

use crate::ports::free_addresses;
use crate::process::Process;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// A stand-in process.
#[derive(Debug)]
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name in the configuration.
    pub name: String,
    pub(super) args: Vec<String>,
}

/// A link process.
#[derive(Debug)]
pub struct Link {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    pub(super) control: SocketAddr,
}

pub(super) fn link(dir: &Path, name: &str, to: SocketAddr) -> io::Result<Link> {
    let free = free_addresses(2)?;
    let (address, control) = (free[0], free[1]);
    let args = [
        "link",
        "--listen",
        &address.to_string(),
        "--to",
        &to.to_string(),
    ];
    let mut args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
    args.extend(["--control".to_owned(), control.to_string()]);
    Ok(Link {
        process: Process::start("standin", &args, &dir.join(format!("{name}.log")))?,
        address,
        control,
    })
}

pub(super) fn standin(
    dir: &Path,
    name: &str,
    kind: &str,
    address: SocketAddr,
    more: &[String],
) -> io::Result<Standin> {
    let mut args = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
    args.extend_from_slice(more);
    let process = Process::start("standin", &args, &dir.join(format!("{name}.log")))?;
    Ok(Standin {
        process,
        address,
        name: name.to_owned(),
        args,
    })
}

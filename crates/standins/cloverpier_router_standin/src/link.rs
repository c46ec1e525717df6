//! A link that can be delayed, cut one way, silenced or reset.
//!
//! Runs inside a test and ends with its owner, as resets and refused ports are among its harms.
//! The link of `cloverpier_daemon_standin` is a process of its own, switched over HTTP.

use crate::socket_owner::SocketOwner;
use crate::upstream::bind_when_free;
use cloverpier_core::lock;
use cloverpier_net::{
    OwnedReadHalf, OwnedWriteHalf, TcpListener, TcpStream, any_loopback_port, set_zero_linger,
};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How a link harms what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// It doesn't.
    #[default]
    None,
    /// Everything arrives later.
    Delay(Duration),
    /// Nothing comes back; what is sent still arrives.
    CutBack,
    /// Nothing arrives, in either direction, and nobody is told.
    Silence,
    /// New connections come up and are reset, as by a process that is about to end and whose listener
    /// closes last.
    ResetNew,
    /// New connections are reset, and those that are open end.
    Reset,
}

/// The harm to all connections, and to those of single processes.
#[derive(Clone, Debug, Default)]
struct Harms {
    to_all: Harm,
    to_process: HashMap<u32, Harm>,
    /// Connections of earlier generations are silent for good.
    generation: u64,
}

impl Harms {
    /// The harm to a connection: that of its opener, if this one has any of its own.
    fn harm_to(&self, connection: &Admitted) -> Harm {
        if connection.generation < self.generation {
            return Harm::Silence;
        }
        let mut of_processes = self.to_process.iter();
        let own = of_processes.find(|(process, _)| connection.owner.is(**process));
        own.map_or(self.to_all, |(_, harm)| *harm)
    }
}

/// A connection that was admitted, as far as the harm to it depends on it.
#[derive(Clone, Debug)]
struct Admitted {
    owner: SocketOwner,
    /// [`Harms::generation`] when it was admitted.
    generation: u64,
}

/// A running link to an address; it ends with its owner.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    harms: watch::Sender<Harms>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
    to: SocketAddr,
    accepting: Option<JoinHandle<()>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.close();
    }
}

impl Link {
    /// Starts a link at a free port of this machine.
    ///
    /// # Errors
    ///
    /// No port can be listened at.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        Self::start_at(any_loopback_port(), to).await
    }

    /// Starts a link at an address. A port that was just found free may be taken for a moment longer, by a process that is
    /// about to start and has inherited the socket of that search.
    ///
    /// # Errors
    ///
    /// The address can't be listened at.
    pub async fn start_at(at: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = bind_when_free(at).await?;
        let address = listener.local_addr()?;
        let (harms, _) = watch::channel(Harms::default());
        let connections = Arc::new(Mutex::new(Vec::new()));
        let accepting = tokio::spawn(accept(
            listener,
            to,
            harms.clone(),
            Arc::clone(&connections),
        ));
        Ok(Self {
            address,
            harms,
            connections,
            to,
            accepting: Some(accepting),
        })
    }

    /// Ends it as its far end's death would: its port refuses.
    pub fn close(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
        self.cut_connections();
    }

    /// Opens it again at the same port.
    ///
    /// # Errors
    ///
    /// The port is taken.
    pub async fn reopen(&mut self) -> io::Result<()> {
        let listener = bind_when_free(self.address).await?;
        let (harms, connections) = (self.harms.clone(), Arc::clone(&self.connections));
        self.accepting = Some(tokio::spawn(accept(listener, self.to, harms, connections)));
        Ok(())
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Harms what passes from now on.
    pub fn set_harm(&self, harm: Harm) {
        self.harms.send_modify(|harms| harms.to_all = harm);
    }

    /// Harms what passes on connections that one process has opened or opens, in place of the harm to all.
    pub fn set_harm_to_process(&self, process: u32, harm: Harm) {
        self.harms.send_modify(|harms| {
            harms.to_process.insert(process, harm);
        });
    }

    /// Silences all open connections for good, without a reset; those that are opened later are not harmed.
    pub fn silence_open_connections(&self) {
        self.harms.send_modify(|harms| harms.generation += 1);
    }

    /// How many connections go through it.
    pub fn open_connections(&self) -> usize {
        let connections = lock(&self.connections);
        connections.iter().filter(|c| !c.is_finished()).count()
    }

    /// Ends all its connections, at both ends.
    pub fn cut_connections(&self) {
        for connection in lock(&self.connections).drain(..) {
            connection.abort();
        }
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    harms: watch::Sender<Harms>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let harms = harms.subscribe();
        let connection = tokio::spawn(async move {
            // A connection that can't go on ends; whoever used it notices.
            let _ = admit(near, to, harms).await;
        });
        let mut connections = lock(&connections);
        connections.retain(|c| !c.is_finished());
        connections.push(connection);
    }
}

/// The harm to a connection now.
fn harm_now(harms: &mut watch::Receiver<Harms>, connection: &Admitted) -> Harm {
    harms.borrow_and_update().harm_to(connection)
}

/// Waits until the harm to a connection fulfils a condition; fails if the link ends before.
async fn wait_for_harm(
    harms: &mut watch::Receiver<Harms>,
    connection: &Admitted,
    condition: impl Fn(Harm) -> bool,
) -> Result<(), watch::error::RecvError> {
    while !condition(harm_now(harms, connection)) {
        harms.changed().await?;
    }
    Ok(())
}

/// Resets a new connection, or carries what passes on it.
async fn admit(
    near: TcpStream,
    to: SocketAddr,
    mut harms: watch::Receiver<Harms>,
) -> io::Result<()> {
    let connection = Admitted {
        owner: SocketOwner::of_accepted(&near)?,
        generation: harms.borrow().generation,
    };
    let harm = harm_now(&mut harms, &connection);
    if matches!(harm, Harm::ResetNew | Harm::Reset) {
        return near.set_zero_linger();
    }
    carry(near, to, harms, connection).await
}

async fn carry(
    near: TcpStream,
    to: SocketAddr,
    mut harms: watch::Receiver<Harms>,
    connection: Admitted,
) -> io::Result<()> {
    // While it is silent nobody learns whether anything listens behind it; its owner may end meanwhile.
    let is_heard = |harm| harm != Harm::Silence;
    let has_ended = wait_for_harm(&mut harms, &connection, is_heard)
        .await
        .is_err();
    if has_ended {
        return Ok(());
    }
    let far = TcpStream::connect(to).await;
    let far = match far {
        Ok(far) => far,
        Err(e) => {
            near.set_zero_linger()?;
            return Err(e);
        }
    };
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let there = pass(
        &mut near_read,
        &mut far_write,
        harms.clone(),
        connection.clone(),
        false,
    );
    let back = pass(
        &mut far_read,
        &mut near_write,
        harms.clone(),
        connection.clone(),
        true,
    );
    let reset = wait_for_harm(&mut harms, &connection, |harm| harm == Harm::Reset);
    // The end of either direction ends both, as the end of a process would.
    let ended = tokio::select! {
        result = there => result,
        result = back => result,
        _ = reset => Ok(()),
    };
    if ended.is_err() {
        // A reset goes on as a reset, never as a clean end, whether a read or a write has met it.
        for half in [near_write, far_write] {
            set_zero_linger(&half)?;
            // Dropping the half would end its direction cleanly first.
            half.forget();
        }
    }
    ended
}

async fn pass(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut harms: watch::Receiver<Harms>,
    connection: Admitted,
    is_back: bool,
) -> io::Result<()> {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).await?;
        loop {
            match harm_now(&mut harms, &connection) {
                Harm::None | Harm::ResetNew | Harm::Reset => break,
                Harm::CutBack if !is_back => break,
                Harm::Delay(by) => {
                    tokio::time::sleep(by).await;
                    break;
                }
                Harm::CutBack | Harm::Silence => {
                    if harms.changed().await.is_err() {
                        return Ok(());
                    }
                }
            }
        }
        if count == 0 {
            return Ok(());
        }
        to.write_all(&bytes[..count]).await?;
    }
}

//! Relays between processes whose links can be cut, in one direction too, and whose open connections
//! can go silent for good while new ones work.
//!
//! The fault-injecting proxy library takes its faults when a proxy starts; switching them on open
//! connections is what this file adds.

use std::collections::HashSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

const POLL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 64 * 1024;
/// Every so many of the open connections go silent together.
const SILENT_SHARE: u64 = 3;

/// A place between which links run: a data centre, or nothing for callers.
pub type Place = String;

/// Faults of all links, shared by the relays.
#[derive(Debug, Default)]
pub struct Links {
    cut: Mutex<HashSet<(Place, Place)>>,
    processes: Mutex<Vec<(u32, Place)>>,
    opened: AtomicU64,
    /// A third of the connections with a lower number are silent.
    silent_below: AtomicU64,
    slowest_lookup_us: AtomicU64,
}

impl Links {
    /// Cuts the way from one place to another.
    pub fn cut(&self, from: &str, to: &str) {
        self.cuts().insert((from.to_owned(), to.to_owned()));
    }

    /// Cuts a place off from others, in both directions.
    pub fn isolate(&self, place: &str, others: &[&str]) {
        for other in others.iter().filter(|other| **other != place) {
            self.cut(place, other);
            self.cut(other, place);
        }
    }

    /// Heals every cut; what was held back flows on.
    pub fn heal(&self) {
        self.cuts().clear();
    }

    /// Lets a third of the open connections go silent for good.
    pub fn silence_open_connections(&self) {
        self.silent_below.store(self.opened.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Returns the longest time that a connection waited for its source to be found.
    ///
    /// A connection that waits for longer than its ends wait for a sign of life is lost to them.
    pub fn slowest_lookup(&self) -> Duration {
        Duration::from_micros(self.slowest_lookup_us.load(Ordering::Relaxed))
    }

    /// Tells where a process runs.
    pub fn register(&self, pid: u32, place: &str) {
        self.processes().push((pid, place.to_owned()));
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cuts().contains(&(from.to_owned(), to.to_owned()))
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::Relaxed) && number.is_multiple_of(SILENT_SHARE)
    }

    fn cuts(&self) -> MutexGuard<'_, HashSet<(Place, Place)>> {
        self.cut.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn processes(&self) -> MutexGuard<'_, Vec<(u32, Place)>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Finds the place of the process that opened a connection, by its socket.
    fn place_of(&self, peer: SocketAddr, local: SocketAddr) -> Place {
        let Ok(Some(inode)) = socket_inode(peer, local) else { return Place::new() };
        let processes = self.processes().clone();
        let found = processes.into_iter().rev().find(|(pid, _)| has_socket(*pid, inode));
        found.map(|(_, place)| place).unwrap_or_default()
    }
}

/// Returns the inode of the socket with these local and remote ports.
fn socket_inode(local: SocketAddr, remote: SocketAddr) -> io::Result<Option<u64>> {
    let table = fs::read_to_string("/proc/net/tcp")?;
    let ends = (format!(":{:04X}", local.port()), format!(":{:04X}", remote.port()));
    let line = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .find(|line| line.len() > 9 && line[1].ends_with(&ends.0) && line[2].ends_with(&ends.1));
    Ok(line.and_then(|line| line[9].parse().ok()))
}

fn has_socket(pid: u32, inode: u64) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let wanted = format!("socket:[{inode}]");
    let links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.into_iter().any(|link| link.as_os_str() == wanted.as_str())
}

/// Relays of one cluster, on a thread of their own.
pub struct Relays {
    runtime: Runtime,
    links: Arc<Links>,
}

impl std::fmt::Debug for Relays {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relays").field("links", &self.links).finish_non_exhaustive()
    }
}

impl Relays {
    /// Starts without a relay.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be started.
    pub fn new() -> io::Result<Self> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        Ok(Self { runtime, links: Arc::new(Links::default()) })
    }

    /// Returns the faults.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Relays an address to a target that stands in a place.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub fn add(&self, listen: SocketAddr, target: SocketAddr, place: &str) -> io::Result<()> {
        let relay = Relay { target, place: place.to_owned(), source: Source::Processes };
        self.spawn(listen, relay)
    }

    /// Relays an address for callers, who stand in no place.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub fn add_for_callers(
        &self,
        listen: SocketAddr,
        target: SocketAddr,
        place: &str,
    ) -> io::Result<()> {
        let relay = Relay { target, place: place.to_owned(), source: Source::Callers };
        self.spawn(listen, relay)
    }

    fn spawn(&self, listen: SocketAddr, relay: Relay) -> io::Result<()> {
        let listener = self.runtime.block_on(TcpListener::bind(listen))?;
        self.runtime.spawn(relay.accept(listener, Arc::clone(&self.links)));
        Ok(())
    }
}

/// Who connects to a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// Processes of the system, each in its place.
    Processes,
    /// Callers.
    Callers,
}

#[derive(Debug, Clone)]
struct Relay {
    target: SocketAddr,
    place: Place,
    source: Source,
}

impl Relay {
    async fn accept(self, listener: TcpListener, links: Arc<Links>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(self.clone().connect(stream, Arc::clone(&links)));
        }
    }

    async fn connect(self, stream: TcpStream, links: Arc<Links>) {
        let from = self.source_of(&stream, &links).await;
        let number = links.opened.fetch_add(1, Ordering::Relaxed);
        while links.is_cut(&from, &self.place) || links.is_cut(&self.place, &from) {
            tokio::time::sleep(POLL).await;
        }
        let Ok(upstream) = TcpStream::connect(self.target).await else { return };
        let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
        let (client_read, client_write) = stream.into_split();
        let (server_read, server_write) = upstream.into_split();
        let way = |from: &Place, to: &Place| Way {
            links: Arc::clone(&links),
            from: from.clone(),
            to: to.clone(),
            number,
        };
        let forth = pump(client_read, server_write, way(&from, &self.place));
        let back = pump(server_read, client_write, way(&self.place, &from));
        tokio::join!(forth, back);
    }

    async fn source_of(&self, stream: &TcpStream, links: &Arc<Links>) -> Place {
        if self.source == Source::Callers {
            return Place::new();
        }
        let (Ok(peer), Ok(local)) = (stream.peer_addr(), stream.local_addr()) else {
            return Place::new();
        };
        let started = Instant::now();
        let looking = Arc::clone(links);
        let found = tokio::task::spawn_blocking(move || looking.place_of(peer, local)).await;
        links.slowest_lookup_us.fetch_max(started.elapsed().as_micros() as u64, Ordering::Relaxed);
        found.unwrap_or_default()
    }
}

/// One direction of a connection.
struct Way {
    links: Arc<Links>,
    from: Place,
    to: Place,
    number: u64,
}

async fn pump(mut read: OwnedReadHalf, mut write: OwnedWriteHalf, way: Way) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = read.read(&mut buffer).await.unwrap_or(0);
        if way.links.is_silent(way.number) {
            // Neither bytes nor the end of the connection arrive any more.
            std::future::pending::<()>().await;
        }
        while way.links.is_cut(&way.from, &way.to) {
            tokio::time::sleep(POLL).await;
        }
        if count == 0 || write.write_all(&buffer[..count]).await.is_err() {
            // The other side sees the end, as it would without the relay.
            let _ = write.shutdown().await;
            return;
        }
    }
}

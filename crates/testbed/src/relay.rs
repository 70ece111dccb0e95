//! TCP relays between processes, with faults that can be switched on and off while connections are
//! open: a link can be cut in one or both directions, and open connections can stop delivering
//! permanently while new ones work.
//!
//! The `noxious` proxy library takes its faults when a proxy starts and cannot change them on open
//! connections, hence the relays.

use std::collections::HashSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 64 * 1024;
/// One in this many open connections is silenced.
const SILENCED_ONE_IN: u64 = 3;

/// Name of the data centre at one end of a link; empty for callers, who are in no data centre.
pub type DataCentre = String;

/// Faults of the links between data centres, shared by all relays.
#[derive(Debug, Default)]
pub struct Links {
    /// Cut directions, each from one data centre to another.
    cut_links: Mutex<HashSet<(DataCentre, DataCentre)>>,
    /// Process ids with the data centre of each.
    processes: Mutex<Vec<(u32, DataCentre)>>,
    /// Connections accepted so far; the next one gets this number as its id.
    connection_count: AtomicU64,
    /// Of the connections with a lower id, one in three is silent.
    silent_below_id: AtomicU64,
    /// Connections with a lower id are reset.
    reset_below_id: AtomicU64,
    /// Delay of all data, in microseconds.
    delay_us: AtomicU64,
    /// Maximum duration of the lookup of a connection's source, in microseconds.
    max_source_lookup_us: AtomicU64,
}

impl Links {
    /// Cuts the link from one data centre to another, in this direction only.
    pub fn cut(&self, from: &str, to: &str) {
        self.cut_links().insert((from.to_owned(), to.to_owned()));
    }

    /// Cuts the links between a data centre and the others, in both directions.
    pub fn isolate(&self, data_centre: &str, others: &[&str]) {
        for other in others.iter().filter(|other| **other != data_centre) {
            self.cut(data_centre, other);
            self.cut(other, data_centre);
        }
    }

    /// Restores every cut link. Data that was held back is delivered.
    pub fn heal(&self) {
        self.cut_links().clear();
    }

    /// Silences one in three open connections permanently: they deliver neither data nor their end.
    pub fn silence_open_connections(&self) {
        self.silent_below_id
            .store(self.connection_count.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Resets all open connections.
    pub fn reset_open_connections(&self) {
        self.reset_below_id.store(self.connection_count.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Delays all data by this time, in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_us.store(delay.as_micros() as u64, Ordering::Relaxed);
    }

    /// Returns the maximum duration of the lookup of a connection's source.
    ///
    /// The connection is not relayed before the lookup is done. If that takes longer than the
    /// keep-alive timeout of the programs at its ends, they close the connection.
    pub fn max_source_lookup(&self) -> Duration {
        Duration::from_micros(self.max_source_lookup_us.load(Ordering::Relaxed))
    }

    /// Records the data centre that a process runs in.
    pub fn register_process(&self, pid: u32, data_centre: &str) {
        self.processes().push((pid, data_centre.to_owned()));
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cut_links().contains(&(from.to_owned(), to.to_owned()))
    }

    fn is_silent(&self, connection_id: u64) -> bool {
        connection_id < self.silent_below_id.load(Ordering::Relaxed)
            && connection_id.is_multiple_of(SILENCED_ONE_IN)
    }

    fn is_reset(&self, connection_id: u64) -> bool {
        connection_id < self.reset_below_id.load(Ordering::Relaxed)
    }

    fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us.load(Ordering::Relaxed))
    }

    fn cut_links(&self) -> MutexGuard<'_, HashSet<(DataCentre, DataCentre)>> {
        self.cut_links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn processes(&self) -> MutexGuard<'_, Vec<(u32, DataCentre)>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the data centre of the process that opened a connection, found by its socket; empty
    /// if no registered process has that socket open.
    fn data_centre_of_source(&self, peer: SocketAddr, local: SocketAddr) -> DataCentre {
        let Ok(Some(inode)) = socket_inode(peer, local) else { return DataCentre::new() };
        let processes = self.processes().clone();
        let found = processes.into_iter().rev().find(|(pid, _)| has_socket(*pid, inode));
        found.map(|(_, data_centre)| data_centre).unwrap_or_default()
    }
}

/// Returns the inode of the socket with these local and remote ports, or `None` if `/proc/net/tcp`
/// does not list it.
fn socket_inode(local: SocketAddr, remote: SocketAddr) -> io::Result<Option<u64>> {
    let table = fs::read_to_string("/proc/net/tcp")?;
    let port_suffixes = (format!(":{:04X}", local.port()), format!(":{:04X}", remote.port()));
    // Most lines belong to other sockets, and splitting all of them takes longer than reading them.
    let candidates = table
        .lines()
        .filter(|line| line.contains(&port_suffixes.0) && line.contains(&port_suffixes.1));
    let mut lines = candidates.map(|line| line.split_whitespace().collect::<Vec<_>>());
    let line = lines.find(|line| {
        line.len() > 9 && line[1].ends_with(&port_suffixes.0) && line[2].ends_with(&port_suffixes.1)
    });
    Ok(line.and_then(|line| line[9].parse().ok()))
}

/// Returns whether a process has an open file descriptor of the socket.
fn has_socket(pid: u32, inode: u64) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let wanted = format!("socket:[{inode}]");
    let links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.into_iter().any(|link| link.as_os_str() == wanted.as_str())
}

/// The relays of one cluster, on a runtime of their own.
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
    /// Starts the runtime, without any relay.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be started.
    pub fn new() -> io::Result<Self> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        Ok(Self { runtime, links: Arc::new(Links::default()) })
    }

    /// Returns the links between the data centres, whose faults can be changed.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the same for use by other threads.
    pub fn shared_links(&self) -> Arc<Links> {
        Arc::clone(&self.links)
    }

    /// Relays connections of nodes and control replicas to a target in a data centre.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn add(&self, listen: SocketAddr, target: SocketAddr, data_centre: &str) -> io::Result<()> {
        let relay =
            Relay { target, data_centre: data_centre.to_owned(), source: Source::Processes };
        self.spawn(listen, relay)
    }

    /// Relays connections of callers, who are in no data centre, to a target in a data centre.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn add_for_callers(
        &self,
        listen: SocketAddr,
        target: SocketAddr,
        data_centre: &str,
    ) -> io::Result<()> {
        let relay = Relay { target, data_centre: data_centre.to_owned(), source: Source::Callers };
        self.spawn(listen, relay)
    }

    fn spawn(&self, listen: SocketAddr, relay: Relay) -> io::Result<()> {
        let listener = self.runtime.block_on(TcpListener::bind(listen))?;
        self.runtime.spawn(relay.accept(listener, Arc::clone(&self.links)));
        Ok(())
    }
}

/// Kind of the clients of a relay, which determines how their data centre is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// Nodes and control replicas, each in its data centre.
    Processes,
    /// Callers, in no data centre.
    Callers,
}

/// Listener that relays its connections to a target.
#[derive(Debug, Clone)]
struct Relay {
    target: SocketAddr,
    data_centre: DataCentre,
    source: Source,
}

impl Relay {
    async fn accept(self, listener: TcpListener, links: Arc<Links>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(self.clone().relay_connection(stream, Arc::clone(&links)));
        }
    }

    async fn relay_connection(self, stream: TcpStream, links: Arc<Links>) {
        let from = self.source_data_centre(&stream, &links).await;
        let connection_id = links.connection_count.fetch_add(1, Ordering::Relaxed);
        while links.is_cut(&from, &self.data_centre) || links.is_cut(&self.data_centre, &from) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let Ok(server_stream) = TcpStream::connect(self.target).await else { return };
        let _ = (stream.set_nodelay(true), server_stream.set_nodelay(true));
        let sockets = [&stream, &server_stream].map(|stream| SockRef::from(stream).try_clone());
        let (client_read, client_write) = stream.into_split();
        let (server_read, server_write) = server_stream.into_split();
        let direction = |from: &DataCentre, to: &DataCentre| Direction {
            links: Arc::clone(&links),
            from: from.clone(),
            to: to.clone(),
            connection_id,
        };
        let client_to_server =
            forward(client_read, server_write, direction(&from, &self.data_centre));
        let server_to_client =
            forward(server_read, client_write, direction(&self.data_centre, &from));
        tokio::select! {
            _ = async { tokio::join!(client_to_server, server_to_client) } => {}
            () = wait_for_reset(&links, connection_id) => {
                for socket in sockets.into_iter().flatten() {
                    // Makes the close that follows a reset. Fails only if the peer has closed it.
                    let _ = socket.set_linger(Some(Duration::ZERO));
                }
            }
        }
    }

    async fn source_data_centre(&self, stream: &TcpStream, links: &Arc<Links>) -> DataCentre {
        if self.source == Source::Callers {
            return DataCentre::new();
        }
        let (Ok(peer), Ok(local)) = (stream.peer_addr(), stream.local_addr()) else {
            return DataCentre::new();
        };
        let started = Instant::now();
        let links_for_lookup = Arc::clone(links);
        let found = tokio::task::spawn_blocking(move || {
            links_for_lookup.data_centre_of_source(peer, local)
        })
        .await;
        links
            .max_source_lookup_us
            .fetch_max(started.elapsed().as_micros() as u64, Ordering::Relaxed);
        found.unwrap_or_default()
    }
}

async fn wait_for_reset(links: &Links, connection_id: u64) {
    while !links.is_reset(connection_id) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// One direction of a relayed connection, with the data centres at its ends.
struct Direction {
    links: Arc<Links>,
    from: DataCentre,
    to: DataCentre,
    connection_id: u64,
}

async fn forward(mut read: OwnedReadHalf, mut write: OwnedWriteHalf, direction: Direction) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let byte_count = read.read(&mut buffer).await.unwrap_or(0);
        let delay = direction.links.delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if direction.links.is_silent(direction.connection_id) {
            // From here on, neither data nor the end of the connection is delivered.
            std::future::pending::<()>().await;
        }
        while direction.links.is_cut(&direction.from, &direction.to) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if byte_count == 0 || write.write_all(&buffer[..byte_count]).await.is_err() {
            // Passes the end of the connection on, as the peer would see it without the relay.
            let _ = write.shutdown().await;
            return;
        }
    }
}

//! A small deployment: the programs of the deploy file as separate processes on loopback.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

pub const OUTBOUND_PORT: u16 = 8304;
pub const INSTANCE_PORT: u16 = 8301;
pub const UPSTREAM_PORT: u16 = 8307;
const INBOUND_PORT: u16 = 8300;
const READY_PORT: u16 = 8302;
const OPERATOR_PORT: u16 = 8306;
const CONTROL_PORT: u16 = 7620;
const ADMIN_PORT: u16 = 7621;
const METRICS_PORT: u16 = 7622;
/// Number of replicas in the settings of a process.
const SEEDS: usize = 3;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Bounds of the small deployment `kml-accra`.
const BOUNDS: &str = "seed_lag_s = 3\nreuse_after_s = 2\nstability_window_ms = 3000\nack_ms = 4000\n\
catchup_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_ms = 2000\n\
downgrade_ms = 250\nouter_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 60\n\
recovery_s = 15\n";

/// A machine with a node and an instance.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub service: &'static str,
    pub ip: IpAddr,
    /// Whether the instance has said that it leaves.
    pub has_left: bool,
    process: Option<Child>,
}

impl Machine {
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OUTBOUND_PORT)
    }

    pub fn upstream_listener(&self) -> SocketAddr {
        SocketAddr::new(self.ip, UPSTREAM_PORT)
    }

    pub fn instance(&self) -> SocketAddr {
        SocketAddr::new(self.ip, INSTANCE_PORT)
    }
}

/// Processes of the deployment. Dropping it ends all of them.
pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    controls: Vec<(IpAddr, Option<Child>)>,
    pub machines: Vec<Machine>,
    /// Whether all processes of the first start run.
    is_started: bool,
}

const ZONES: [&str; 4] = ["osu", "tema", "kaneshie", "madina"];

impl Deployment {
    /// Starts replicas and a node for each service in `services`.
    pub fn start(
        root: &Path,
        folder: &Path,
        controls: u8,
        services: &[&'static str],
    ) -> Result<Self, String> {
        let block = free_block()?;
        let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, block.0, block.1, last));
        let control_count = usize::from(controls);
        let controls = (1..=controls).map(|index| (ip(index), None)).collect();
        let machines = services.iter().enumerate().map(|(index, service)| Machine {
            name: format!("sidecar-{}-{}", ZONES[index % 3], index / 3 + 1),
            zone: ZONES[index % 3],
            service,
            ip: ip(20 + index as u8),
            has_left: false,
            process: None,
        });
        let machines = machines.collect();
        let mut deployment = Self {
            root: root.to_owned(),
            folder: folder.to_owned(),
            controls,
            machines,
            is_started: false,
        };
        for index in 0..control_count {
            deployment.start_control(index, true)?;
        }
        for index in 0..services.len() {
            deployment.start_node(index)?;
        }
        deployment.is_started = true;
        Ok(deployment)
    }

    fn seeds(&self) -> String {
        let running = self.controls.iter().filter(|(_, process)| process.is_some());
        let addresses = match running.clone().count() >= SEEDS && self.is_started {
            true => running.take(SEEDS).map(|(ip, _)| ip).collect::<Vec<_>>(),
            false => self.controls.iter().take(SEEDS).map(|(ip, _)| ip).collect(),
        };
        let seeds = addresses.into_iter().map(|ip| format!("\"{ip}:{OPERATOR_PORT}\""));
        format!("[{}]", seeds.collect::<Vec<_>>().join(", "))
    }

    pub fn start_control(&mut self, index: usize, may_form: bool) -> Result<(), String> {
        let zone = ZONES[index % 4];
        let name = format!("core-{zone}-{}", index / 4 + 1);
        let data_dir = self.folder.join(&name);
        fs::create_dir_all(&data_dir).map_err(|error| error.to_string())?;
        let ip = self.controls[index].0;
        let text = format!(
            "ip = \"{ip}\"\ndata_centre = \"{}\"\noperator_listen = \"{ip}:{OPERATOR_PORT}\"\n\
             control_port = {CONTROL_PORT}\nadmin_port = {ADMIN_PORT}\ndata_dir = \"{}\"\n\
             may_form = {may_form}\nseeds = {}\n",
            zone,
            data_dir.display(),
            self.seeds()
        );
        self.controls[index].1 = Some(self.spawn("control", &name, &text)?);
        Ok(())
    }

    pub fn start_node(&mut self, index: usize) -> Result<(), String> {
        let Machine { name, zone, service, ip, .. } = &self.machines[index];
        let text = format!(
            "vm = \"{name}\"\ndata_centre = \"{zone}\"\nservice = \"{service}\"\n\
             caller_listen = \"{ip}:{OUTBOUND_PORT}\"\npeer_listen = \"{ip}:{INBOUND_PORT}\"\n\
             ready_listen = \"{ip}:{READY_PORT}\"\nupstream_listen = \"{ip}:{UPSTREAM_PORT}\"\n\
             upstream_address = \"{ip}:{INSTANCE_PORT}\"\nmetrics_listen = \"{ip}:{METRICS_PORT}\"\n\
             control_port = {CONTROL_PORT}\nseeds = {}\n\n[bounds]\n{BOUNDS}",
            self.seeds()
        );
        let name = name.clone();
        self.machines[index].process = Some(self.spawn("node", &name, &text)?);
        Ok(())
    }

    /// Starts the program that the deploy file names for a role.
    fn spawn(&self, role: &str, name: &str, settings: &str) -> Result<Child, String> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let error_log = log.try_clone().map_err(|error| error.to_string())?;
        let command = self.command(role)?;
        let mut words = command.split(' ');
        let program = words.next().ok_or("the deploy file has no program")?;
        Command::new(self.root.join(program))
            .args(words)
            .current_dir(&self.root)
            .env("HEATHERWEIR_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))
    }

    /// Returns the command of a role in the deploy file.
    fn command(&self, role: &str) -> Result<String, String> {
        let text = fs::read_to_string(self.root.join("deploy/system.toml"))
            .map_err(|error| error.to_string())?;
        let section = format!("[roles.{role}]");
        let lines = text.lines().skip_while(|line| line.trim() != section).skip(1);
        let mut lines = lines.take_while(|line| !line.starts_with('['));
        let run = lines.find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        run.map(str::to_owned).ok_or(format!("the deploy file has no role {role}"))
    }

    /// Kills a replica for good and starts an empty one at another address after `delay`. Returns the
    /// index of the successor.
    pub fn replace_control(&mut self, index: usize, delay: Duration) -> Result<usize, String> {
        self.kill_control(index);
        std::thread::sleep(delay);
        let IpAddr::V4(ip) = self.controls[0].0 else { return Err("not IPv4".to_owned()) };
        let [first, second, third, _] = ip.octets();
        let successor = self.controls.len();
        let ip = Ipv4Addr::new(first, second, third, 1 + successor as u8);
        self.controls.push((IpAddr::V4(ip), None));
        self.start_control(successor, false)?;
        Ok(successor)
    }

    /// Returns the address for operators of a replica.
    pub fn operator_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.controls[index].0, OPERATOR_PORT)
    }

    /// Kills the process of a node and waits for its end.
    pub fn kill_node(&mut self, index: usize) {
        end(&mut self.machines[index].process);
    }

    /// Kills a replica and waits for its end.
    pub fn kill_control(&mut self, index: usize) {
        end(&mut self.controls[index].1);
    }

    pub fn signal_node(&self, index: usize, signal: i32) {
        if let Some(process) = &self.machines[index].process {
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    pub fn signal_control(&self, index: usize, signal: i32) {
        if let Some(process) = &self.controls[index].1 {
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Returns the index of the replica that a node has logged last to be attached to.
    pub fn attached_replica(&self, index: usize) -> Option<usize> {
        let path = self.folder.join(format!("{}.log", self.machines[index].name));
        let log = fs::read_to_string(path).ok()?;
        let line = log.lines().rfind(|line| line.contains("msg=control-attached"))?;
        self.controls.iter().position(|(ip, _)| line.contains(&format!("\"{ip}:{CONTROL_PORT}\"")))
    }

    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let running = self.controls.iter().filter(|(_, process)| process.is_some());
        running.map(|(ip, _)| SocketAddr::new(*ip, OPERATOR_PORT)).collect()
    }

    /// Sends a configuration until a replica acknowledges it.
    pub fn put_configuration(&self, base: u32, document: &str) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut last = String::new();
        while Instant::now() < deadline {
            for address in self.operator_addresses() {
                let head = format!(
                    "POST /config/put HTTP/1.1\r\nHost: control\r\nBase-Version: {base:08x}\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    document.len()
                );
                let message = [head.as_bytes(), document.as_bytes()].concat();
                match http::call(address, &message, Duration::from_secs(2)) {
                    Ok(answer) if answer.status == 200 => return Ok(()),
                    Ok(answer) => last = format!("status {}", answer.status),
                    Err(error) => last = error,
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(format!("no replica took the configuration: {last}"))
    }

    /// Waits until all nodes are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for machine in &self.machines {
            let address = SocketAddr::new(machine.ip, READY_PORT);
            let probe = b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            while http::call(address, probe, Duration::from_secs(1))
                .map_or(0, |answer| answer.status)
                != 200
            {
                if Instant::now() > deadline {
                    return Err(format!("{} is not ready", machine.name));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            end(&mut machine.process);
        }
        for (_, process) in &mut self.controls {
            end(process);
        }
    }
}

fn end(process: &mut Option<Child>) {
    if let Some(mut process) = process.take() {
        // Fails only if the process has ended already.
        let _ = process.kill();
        let _ = process.wait();
    }
}

/// Returns the second and third octet of a block of loopback addresses that nothing listens on.
fn free_block() -> Result<(u8, u8), String> {
    let start = std::process::id();
    for offset in 0..50 {
        let block = (100 + ((start >> 8) + offset) % 100, (start + 7 * offset) % 250);
        let block = (block.0 as u8, block.1 as u8);
        let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, block.0, block.1, last));
        let is_free =
            [(1, OPERATOR_PORT), (2, OPERATOR_PORT), (20, OUTBOUND_PORT), (20, INSTANCE_PORT)]
                .iter()
                .all(|(last, port)| TcpListener::bind(SocketAddr::new(ip(*last), *port)).is_ok());
        if is_free {
            return Ok(block);
        }
    }
    Err("no free block of loopback addresses".to_owned())
}

/// Returns a configuration with a safe and an unsafe route to each service.
pub fn configuration(version: u32, services: &[&str], timeout_ms: u32) -> String {
    let mut routes = Vec::new();
    for service in services {
        for (prefix, kind) in [("read", "safe"), ("buy", "unsafe")] {
            routes.push(format!(
                "{{\"name\":\"r-{service}-{prefix}\",\"host\":\"{service}.example\",\
                 \"path_prefix\":\"/{prefix}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
                 \"latency_target_ms\":1500,\"priority\":0,\"service\":\"{service}\",\"attempts\":2}}"
            ));
        }
    }
    let services = services.iter().map(|service| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":622,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.collect::<Vec<_>>().join(",")
    )
}

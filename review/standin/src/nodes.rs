//! Node processes of the program of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::client;

/// Ports below those that outgoing connections take.
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 12_000;
static PROBED: AtomicU16 = AtomicU16::new(0);

/// A loopback address that is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    let start = (std::process::id() % 400) as u16 * 30;
    loop {
        let offset = start.wrapping_add(PROBED.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// The settings of a node that differ between cases.
pub struct NodeSettings<'a> {
    pub number: usize,
    pub zone: &'a str,
    pub region: &'a str,
    pub store: SocketAddr,
    pub control: SocketAddr,
    pub seeds: &'a [SocketAddr],
    pub grace_seconds: u64,
}

/// A process of the program.
pub struct Node {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Node {
    /// Writes the settings of a node.
    pub fn new(program: &Path, directory: &Path, settings: &NodeSettings<'_>) -> Self {
        let (front, ready) = (free_address(), free_address());
        let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
        let (number, control, store) = (settings.number, settings.control, settings.store);
        let text = format!(
            "node=front-{number}\nrole=proxy\nmachineClass=front\nserves=front,control\nip=127.0.0.1\n\
             zone={}\nregion={}\nzones.zone-a=region-1\nzones.zone-b=region-1\nzones.zone-c=region-2\n\
             listen.front={front}\nlisten.ready={ready}\nlisten.control={control}\nseeds={}\n\
             bootstrap=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4300\n\
             discovery=platform\nentry=vip\nheartbeatMs=1200\nbounds.drainMs=7000\nbounds.graceS={}\n\
             bounds.contactMs=5000\nbounds.configApplyMs=4000\nplatform.address={store}\nplatform.form=objects\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.historyS=20\n\
             cloud.address={store}\ncloud.duties=promotion\ncloud.dutyPerS=50.0\n",
            settings.zone,
            settings.region,
            seeds.join(","),
            settings.grace_seconds,
        );
        let path = directory.join(format!("front-{number}.conf"));
        std::fs::write(&path, text).expect("a settings file");
        Self {
            program: program.to_owned(),
            settings: path,
            log: directory.join(format!("front-{number}.log")),
            child: None,
            front,
            ready,
        }
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new(&self.program)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("STAIRWARD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let id = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", signal, &id]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        status.is_none_or(|status| matches!(status, Ok(Some(_))))
    }

    /// Waits until the node is ready; returns whether it is in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if client::is_ready(self.ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Node {
    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

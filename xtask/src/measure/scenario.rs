//! Definitions of the scenarios: each is a deployment, a load and an injected fault.

use std::time::Duration;

use testbed::deployment::Deployment;
use testbed::load::{Phase, RequestKind};
use ureq::http::Method;

use crate::error::TaskError;

/// Service time of the bottleneck. The load is proportional to its capacity, so a long service time
/// keeps the load low enough for one machine.
const BOTTLENECK_SERVICE_TIME_US: u64 = 120_000;
const US_PER_S: f64 = 1_000_000.0;

/// Fault that is injected during a scenario.
#[derive(Debug, Clone)]
pub enum Fault {
    /// No fault.
    None,
    /// The service time of every instance of a service increases.
    Slow {
        /// Name of the service.
        service: &'static str,
        /// Factor by which the service time increases.
        factor: u64,
    },
    /// Upstreams are killed when the fault starts and restarted, without warm-up, when it ends.
    Kill {
        /// Name of the service.
        service: &'static str,
        /// Number of upstreams that are killed.
        count: usize,
    },
    /// One upstream of each service shuts down gracefully and is restarted, one after another.
    RollingRestart {
        /// Names of the services.
        services: &'static [&'static str],
    },
    /// The network between one data centre, with its control replica, and the others is cut.
    Partition {
        /// Name of the data centre that is cut off.
        data_centre: &'static str,
    },
    /// A third of the open connections stay open, but permanently stop carrying data.
    SilentConnections,
    /// Some requests crash every upstream of a service that runs them. Crashed upstreams are
    /// restarted immediately.
    Poison {
        /// Name of the service.
        service: &'static str,
    },
    /// One upstream announces ten times its number of slots, so that it always appears idle.
    InflatedSlots {
        /// Name of the service.
        service: &'static str,
    },
    /// Some calls of a service run to completion and then fail.
    Fail {
        /// Name of the service.
        service: &'static str,
        /// Share of calls that fail, in percent.
        percent: u32,
    },
}

impl Fault {
    /// Returns whether the fault affects the network, which needs relays between the processes.
    pub fn needs_relays(&self) -> bool {
        matches!(self, Fault::Partition { .. } | Fault::SilentConnections)
    }
}

/// Path of the requests that crash upstreams under [`Fault::Poison`].
pub const POISON_PATH: &str = "/browse/poison";

/// A scenario to measure. Times are counted from the start of the load.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Description of the load and the fault.
    pub about: &'static str,
    /// Deployment that the load is sent to.
    pub deployment: Deployment,
    /// Kinds of requests in the load; the first one is the read whose latency is measured.
    pub kinds: Vec<RequestKind>,
    /// Consecutive phases of the load, each with its request rate.
    pub phases: Vec<Phase>,
    /// Injected fault.
    pub fault: Fault,
    /// Time at which the fault starts.
    pub fault_from: Duration,
    /// Time at which the fault ends.
    pub fault_until: Duration,
    /// Name of the service whose capacity limits the goodput.
    pub bottleneck: &'static str,
    /// Names of the kinds of requests that call the bottleneck.
    pub bottleneck_kinds: &'static [&'static str],
    /// Maximum goodput of the bottleneck during the fault, in requests per second.
    pub limit_per_s: f64,
}

/// Returns the name and description of every scenario.
pub fn list() -> Vec<(&'static str, &'static str)> {
    all().iter().map(|scenario| (scenario.name, scenario.about)).collect()
}

/// Returns the scenario with a name.
///
/// # Errors
///
/// Returns an error if there is no such scenario.
pub fn find(name: &str) -> Result<Scenario, TaskError> {
    let found = all().into_iter().find(|scenario| scenario.name == name);
    found.ok_or_else(|| TaskError::Check(format!("there is no scenario {name}")))
}

fn all() -> Vec<Scenario> {
    vec![
        steady("steady", attica()),
        steady("steady-accra", accra()),
        deep_slow("deep-slow", attica(), "seires"),
        deep_slow("deep-slow-accra", accra(), "spec-tables"),
        upstream_loss(),
        partition(),
        poison(),
        silent(),
        lying_health(),
        leaving(),
        fan_out(),
    ]
}

fn attica() -> Deployment {
    with_bottleneck_service_time(Deployment::attica(), "seires")
}

fn accra() -> Deployment {
    with_bottleneck_service_time(Deployment::accra(), "spec-tables")
}

/// Sets the service time of the bottleneck to [`BOTTLENECK_SERVICE_TIME_US`].
fn with_bottleneck_service_time(mut deployment: Deployment, bottleneck: &str) -> Deployment {
    for service in deployment.services.iter_mut().filter(|service| service.name == bottleneck) {
        service.service_time_us = BOTTLENECK_SERVICE_TIME_US;
    }
    deployment
}

/// Returns the maximum throughput of a service, in calls per second.
fn capacity_per_s(deployment: &Deployment, service: &str) -> f64 {
    let matching_services = deployment.services.iter().filter(|spec| spec.name == service);
    let capacity = matching_services
        .map(|spec| (spec.instances * spec.slots) as f64 * US_PER_S / spec.service_time_us as f64);
    capacity.sum()
}

/// Returns the request mix of a deployment: 95 % reads, 3 % charges and 2 % uploads.
fn kinds(deployment: &Deployment) -> Vec<RequestKind> {
    let is_attica = deployment.name == "attica";
    let (read, charge) = if is_attica { ("/browse", "/rentals") } else { ("/pages", "/purchases") };
    let (read_name, charge_name) =
        if is_attica { ("browse", "rental") } else { ("page", "purchase") };
    vec![
        RequestKind {
            name: read_name,
            method: Method::GET,
            path: read,
            weight: 95,
            is_keyed: false,
            body_bytes: 0,
        },
        RequestKind {
            name: charge_name,
            method: Method::POST,
            path: charge,
            weight: 3,
            is_keyed: true,
            body_bytes: 64,
        },
        RequestKind {
            name: "upload",
            method: Method::PUT,
            path: "/uploads",
            weight: 2,
            is_keyed: false,
            body_bytes: 16 * 1024,
        },
    ]
}

fn bottleneck_kinds(bottleneck: &str) -> &'static [&'static str] {
    match bottleneck {
        "seires" => &["browse", "rental"],
        "spec-tables" => &["page"],
        _ => &["browse"],
    }
}

fn phase(duration_s: u64, rate_per_s: f64) -> Phase {
    Phase { duration: Duration::from_secs(duration_s), rate_per_s }
}

fn steady(name: &'static str, deployment: Deployment) -> Scenario {
    let bottleneck = if deployment.name == "attica" { "seires" } else { "spec-tables" };
    let capacity = capacity_per_s(&deployment, bottleneck);
    Scenario {
        name,
        about: "steady load at half of the capacity",
        kinds: kinds(&deployment),
        phases: vec![phase(10, capacity / 2.0)],
        fault: Fault::None,
        fault_from: Duration::from_secs(2),
        fault_until: Duration::from_secs(10),
        bottleneck,
        bottleneck_kinds: bottleneck_kinds(bottleneck),
        limit_per_s: capacity,
        deployment,
    }
}

fn deep_slow(name: &'static str, deployment: Deployment, bottleneck: &'static str) -> Scenario {
    const FACTOR: u64 = 10;
    let capacity = capacity_per_s(&deployment, bottleneck);
    Scenario {
        name,
        about: "surge to twice the capacity while a deep service is 10 times slower for 10 s",
        kinds: kinds(&deployment),
        phases: vec![phase(5, capacity / 2.0), phase(10, capacity * 2.0), phase(8, capacity / 2.0)],
        fault: Fault::Slow { service: bottleneck, factor: FACTOR },
        fault_from: Duration::from_secs(5),
        fault_until: Duration::from_secs(15),
        bottleneck,
        bottleneck_kinds: bottleneck_kinds(bottleneck),
        limit_per_s: capacity / FACTOR as f64,
        deployment,
    }
}

fn upstream_loss() -> Scenario {
    let deployment = attica();
    let capacity = capacity_per_s(&deployment, "seires");
    Scenario {
        name: "upstream-loss",
        about: "a third of a deep service is killed in a surge and restarted without warm-up",
        kinds: kinds(&deployment),
        phases: vec![phase(5, capacity / 2.0), phase(10, capacity), phase(8, capacity / 2.0)],
        fault: Fault::Kill { service: "seires", count: 1 },
        fault_from: Duration::from_secs(5),
        fault_until: Duration::from_secs(15),
        bottleneck: "seires",
        bottleneck_kinds: bottleneck_kinds("seires"),
        limit_per_s: capacity * 2.0 / 3.0,
        deployment,
    }
}

/// Returns a scenario at half of the capacity, with a fault that starts after 5 seconds.
///
/// The fault lasts `fault_s` seconds; the load continues for `after_s` seconds after its end.
fn half_load(
    name: &'static str,
    about: &'static str,
    fault: Fault,
    fault_s: u64,
    after_s: u64,
) -> Scenario {
    let deployment = attica();
    let capacity = capacity_per_s(&deployment, "seires");
    Scenario {
        name,
        about,
        kinds: kinds(&deployment),
        phases: vec![phase(5 + fault_s + after_s, capacity / 2.0)],
        fault,
        fault_from: Duration::from_secs(5),
        fault_until: Duration::from_secs(5 + fault_s),
        bottleneck: "seires",
        bottleneck_kinds: bottleneck_kinds("seires"),
        limit_per_s: capacity,
        deployment,
    }
}

fn partition() -> Scenario {
    let fault = Fault::Partition { data_centre: "marousi" };
    half_load(
        "partition",
        "one data centre and its control replica are cut off for 15 s",
        fault,
        15,
        8,
    )
}

fn silent() -> Scenario {
    let about = "a third of the open connections permanently stop carrying data";
    half_load("silent", about, Fault::SilentConnections, 1, 10)
}

fn lying_health() -> Scenario {
    let about = "one upstream announces ten times its slots and always appears idle";
    half_load("lying-health", about, Fault::InflatedSlots { service: "seires" }, 10, 5)
}

fn poison() -> Scenario {
    let about = "one request in 500 crashes its upstream and is retried through any node";
    let mut scenario = half_load("poison", about, Fault::Poison { service: "seires" }, 15, 8);
    for kind in &mut scenario.kinds {
        kind.weight *= 5;
    }
    scenario.kinds.push(RequestKind {
        name: "poison",
        method: Method::GET,
        path: POISON_PATH,
        weight: 1,
        is_keyed: false,
        body_bytes: 0,
    });
    let rate_per_s = scenario.limit_per_s / 4.0;
    for phase in &mut scenario.phases {
        phase.rate_per_s = rate_per_s;
    }
    scenario
}

fn leaving() -> Scenario {
    let deployment = attica();
    let capacity = capacity_per_s(&deployment, "seires");
    Scenario {
        name: "leaving",
        about: "upstreams shut down and restart one after another under load",
        kinds: kinds(&deployment),
        phases: vec![phase(30, capacity / 3.0)],
        fault: Fault::RollingRestart { services: &["vitrina", "seires"] },
        fault_from: Duration::from_secs(3),
        fault_until: Duration::from_secs(25),
        bottleneck: "seires",
        bottleneck_kinds: bottleneck_kinds("seires"),
        limit_per_s: capacity * 2.0 / 3.0,
        deployment,
    }
}

fn fan_out() -> Scenario {
    let mut deployment = attica();
    let calls: [(&str, &'static [&'static str]); 3] = [
        ("vitrina", &["/browse=seires*3"]),
        ("seires", &["/browse=tameio*3"]),
        ("tameio", &["/browse=apothiki*3"]),
    ];
    for (name, rules) in calls {
        for service in deployment.services.iter_mut().filter(|service| service.name == name) {
            service.calls = rules;
            service.service_time_us = 1_000;
        }
    }
    deployment.profile_dir = deployment.profile_dir.join("../fan-out");
    Scenario {
        name: "fan-out",
        about: "4 services in a chain, each calls the next 3 times; half of the last calls fail",
        kinds: kinds(&deployment).into_iter().take(1).collect(),
        phases: vec![phase(15, 20.0)],
        fault: Fault::Fail { service: "apothiki", percent: 50 },
        fault_from: Duration::from_secs(3),
        fault_until: Duration::from_secs(12),
        bottleneck: "apothiki",
        bottleneck_kinds: bottleneck_kinds("apothiki"),
        limit_per_s: 20.0,
        deployment,
    }
}

//! Deployments for tests and measurements: the production deployments scaled down to one machine,
//! and a small one.

use std::path::{Path, PathBuf};

/// A service and the capacity of its upstreams.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Name of its profile.
    pub profile: &'static str,
    /// Number of instances, distributed over the data centres round-robin.
    pub instances: usize,
    /// Maximum number of concurrent calls of one instance.
    pub slots: usize,
    /// Maximum number of concurrent connections that one instance announces.
    pub connections: u32,
    /// Time that one call takes, in microseconds.
    pub service_time_us: u64,
    /// Rules for calls to other services, each as `PREFIX=SERVICE`.
    pub calls: &'static [&'static str],
}

/// The services of a client account, with their data centres and profiles.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Names of the data centres.
    pub data_centres: &'static [&'static str],
    /// Services; the first one is the front service, which receives the callers' requests.
    pub services: Vec<ServiceSpec>,
    /// Directory of the profile files.
    pub profile_dir: PathBuf,
    /// Path of a read request.
    pub read_path: &'static str,
    /// Path of a purchase request.
    pub purchase_path: &'static str,
    /// Service that runs purchases.
    pub purchase_service: &'static str,
    /// Service that stores uploads.
    pub upload_service: &'static str,
}

impl Deployment {
    /// Returns the deployment of Karamanlis Vision Catalogue.
    pub fn attica() -> Self {
        let service = |name, profile, slots, connections, service_time_us, calls| ServiceSpec {
            name,
            profile,
            instances: 3,
            slots,
            connections,
            service_time_us,
            calls,
        };
        Self {
            name: "attica",
            data_centres: &["kifisia", "peiraias", "marousi"],
            services: vec![
                service(
                    "vitrina",
                    "catalogue-front",
                    140,
                    950,
                    1_000,
                    &["/browse=seires", "/rentals=seires", "/uploads=apothiki"],
                ),
                service("seires", "series", 40, 330, 20_000, &["/rentals=tameio"]),
                service("tameio", "billing", 140, 950, 2_000, &[]),
                service("apothiki", "masters", 140, 950, 2_000, &[]),
            ],
            profile_dir: profile_dir("attica"),
            read_path: "/browse/films",
            purchase_path: "/rentals/film-1",
            purchase_service: "tameio",
            upload_service: "apothiki",
        }
    }

    /// Returns the deployment of Kwabena Manuals Ltd.
    pub fn accra() -> Self {
        let service = |name, profile, instances, slots, connections, service_time_us, calls| {
            ServiceSpec { name, profile, instances, slots, connections, service_time_us, calls }
        };
        Self {
            name: "accra",
            data_centres: &["osu", "tema", "kaneshie"],
            services: vec![
                service(
                    "manual-viewer",
                    "manual-pages",
                    4,
                    90,
                    620,
                    1_000,
                    &["/pages=spec-tables", "/purchases=licence-desk", "/uploads=diagram-store"],
                ),
                service("licence-desk", "licences", 3, 120, 800, 2_000, &[]),
                service("diagram-store", "diagrams", 3, 120, 800, 2_000, &[]),
                service("spec-tables", "specs", 4, 20, 230, 20_000, &[]),
            ],
            profile_dir: profile_dir("accra"),
            read_path: "/pages/brakes",
            purchase_path: "/purchases/licence-1",
            purchase_service: "licence-desk",
            upload_service: "diagram-store",
        }
    }

    /// Returns a deployment for tests, with two services in three data centres: `front` calls
    /// `back`, which runs purchases and stores uploads.
    pub fn pair() -> Self {
        let service = |name, profile, instances, calls| ServiceSpec {
            name,
            profile,
            instances,
            slots: 16,
            connections: 100,
            service_time_us: 1_000,
            calls,
        };
        Self {
            name: "pair",
            data_centres: &["kifisia", "peiraias", "marousi"],
            services: vec![
                service("front", "front", 2, &["/=back"]),
                service("back", "back", 3, &[]),
            ],
            profile_dir: profile_dir("test-pair"),
            read_path: "/pages/1",
            purchase_path: "/purchases/1",
            purchase_service: "back",
            upload_service: "back",
        }
    }

    /// Returns the front service, the one that receives the callers' requests.
    pub fn front(&self) -> &ServiceSpec {
        &self.services[0]
    }
}

fn profile_dir(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../profiles").join(name)
}

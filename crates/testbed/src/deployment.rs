//! The users' deployments, scaled down to one machine.

use std::path::{Path, PathBuf};

/// A service of a deployment.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name.
    pub name: &'static str,
    /// Profile that it picks.
    pub profile: &'static str,
    /// Instances, spread over the data centres.
    pub instances: usize,
    /// Calls at once of one instance.
    pub slots: usize,
    /// Connections of one instance.
    pub connections: u32,
    /// Time of one call, in microseconds.
    pub service_time_us: u64,
    /// Calls to deeper services, as `PREFIX=SERVICE`.
    pub calls: &'static [&'static str],
}

/// Services, data centres and profiles.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Data centres.
    pub data_centres: &'static [&'static str],
    /// Services; the first one is the front.
    pub services: Vec<ServiceSpec>,
    /// Folder of the profiles.
    pub profile_dir: PathBuf,
    /// Path of a cheap request.
    pub read_path: &'static str,
    /// Path of a request that charges.
    pub charge_path: &'static str,
    /// Service that charges.
    pub charge_service: &'static str,
    /// Service that stores uploads.
    pub upload_service: &'static str,
}

impl Deployment {
    /// Karamanlis Vision Catalogue.
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
            charge_path: "/rentals/film-1",
            charge_service: "tameio",
            upload_service: "apothiki",
        }
    }

    /// Kwabena Manuals Ltd.
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
            charge_path: "/purchases/licence-1",
            charge_service: "licence-desk",
            upload_service: "diagram-store",
        }
    }

    /// Two services in three data centres, for tests: `front` calls `back`, which charges and stores.
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
            charge_path: "/purchases/1",
            charge_service: "back",
            upload_service: "back",
        }
    }

    /// Returns the front service.
    pub fn front(&self) -> &ServiceSpec {
        &self.services[0]
    }
}

fn profile_dir(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../profiles").join(name)
}

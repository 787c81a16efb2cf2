use std::fmt;
use std::io;
use std::str::FromStr;

use indexmap::IndexMap;

use crate::{Point, sweeps};

/// A series of measurements, by the quantity that grows from point to point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sweep {
    /// Hosts of one service, so few that its table ranks them for each packet.
    SmallService,
    /// Hosts of one service, so many that its table is computed in advance.
    LargeService,
    /// Services, of three hosts each, that a balancer knows.
    Services,
    /// Flows that an agent holds and hints that a balancer holds.
    Flows,
    /// Hosts that send heartbeats to a balancer.
    Members,
    /// Balancers of a data centre.
    Fleet,
    /// Configuration changes to a fixed number of objects.
    Changes,
    /// Request keys that a ledger holds.
    Records,
    /// Bytes of payload in a message.
    Payload,
}

// Measures the figures of one size and adds them to the point.
type Measure = fn(usize, &mut Point) -> io::Result<()>;

// Name, sizes and function of each sweep, in the order of the enum's variants.
const SWEEPS: [(Sweep, &str, &[usize], Measure); 9] = [
    (
        Sweep::SmallService,
        "small-service",
        &[2, 4, 8, 16, 32],
        sweeps::service::measure,
    ),
    (
        Sweep::LargeService,
        "large-service",
        &[100, 300, 1_000, 3_000],
        sweeps::service::measure,
    ),
    (
        Sweep::Services,
        "services",
        &[2_000, 8_000, 20_000, 35_000],
        sweeps::services::measure,
    ),
    (
        Sweep::Flows,
        "flows",
        &[25_000, 50_000, 100_000, 200_000],
        sweeps::flows::measure,
    ),
    (
        Sweep::Members,
        "members",
        &[30, 300, 3_000, 9_000],
        sweeps::members::measure,
    ),
    (
        Sweep::Fleet,
        "fleet",
        &[43, 172, 344, 688],
        sweeps::fleet::measure,
    ),
    (
        Sweep::Changes,
        "changes",
        &[3_000, 12_000, 48_000, 96_000],
        sweeps::changes::measure,
    ),
    (
        Sweep::Records,
        "records",
        &[25_000, 50_000, 100_000, 200_000],
        sweeps::records::measure,
    ),
    (
        Sweep::Payload,
        "payload",
        &[0, 256, 512, 1_024],
        sweeps::payload::measure,
    ),
];

impl Sweep {
    pub(crate) const ALL: [Self; SWEEPS.len()] = {
        let mut all = [Self::SmallService; SWEEPS.len()];
        let mut index = 0;
        while index < SWEEPS.len() {
            all[index] = SWEEPS[index].0;
            index += 1;
        }
        all
    };

    /// Sizes of the points, smallest first.
    pub(crate) fn sizes(self) -> &'static [usize] {
        self.row().2
    }

    /// Measures one point.
    ///
    /// # Errors
    /// Fails when the process's memory figures cannot be read.
    pub(crate) fn measure(self, size: usize) -> io::Result<Point> {
        let mut point = Point {
            sweep: self.to_string(),
            size,
            figures: IndexMap::new(),
        };
        (self.row().3)(size, &mut point)?;
        Ok(point)
    }

    fn row(self) -> &'static (Self, &'static str, &'static [usize], Measure) {
        &SWEEPS[self as usize]
    }
}

impl fmt::Display for Sweep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.row().1)
    }
}

impl FromStr for Sweep {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let known = Self::ALL.into_iter().find(|sweep| sweep.row().1 == text);
        known.ok_or_else(|| format!("no sweep {text:?}; `capacity plan` lists all"))
    }
}

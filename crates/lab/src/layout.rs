//! Where simulated brokers stand: regions, zones and racks, what the ways between them are like, and what of these is
//! cut. A cut is a rule over places, not a list of pairs.

use crate::simulated::Link;
use claywinch::interface::Time;
use claywinch::state::membership::mix;

/// Brokers of a rack.
pub const RACK: usize = 24;
/// Least and most time on the way within a zone, in microseconds.
pub const WITHIN_ZONE: (Time, Time) = (100, 600);
/// Least and most time on the way between two zones of a region, in microseconds.
pub const WITHIN_REGION: (Time, Time) = (1_000, 3_000);
/// Least and most time on the way between two regions, in microseconds, jitter included.
pub const BETWEEN: (Time, Time) = (20_000, 300_000);
/// Of the way between two regions, the part that comes and goes: a tenth.
const JITTER: Time = 10;

/// What cannot be laid out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// A region needs a zone at least, and there must be a region.
    #[error("{zones} zones in {regions} regions: one zone in each region at least, and one region")]
    Zones {
        /// How many regions were asked for.
        regions: usize,
        /// How many zones.
        zones: usize,
    },
    /// No broker would stand there.
    #[error("{hosts} brokers in {zones} zones: one broker in each zone at least")]
    Empty {
        /// How many brokers were asked for.
        hosts: usize,
        /// How many zones.
        zones: usize,
    },
}

/// Where a broker stands. All three are numbered over the whole cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The region.
    pub region: usize,
    /// The zone; a region has several.
    pub zone: usize,
    /// The rack, of [`RACK`] brokers; a zone has several.
    pub rack: usize,
}

/// Some of the brokers, by what they have in common: what fails or is cut off at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Area {
    /// One broker.
    Host(usize),
    /// Those of a rack.
    Rack(usize),
    /// Those of a zone.
    Zone(usize),
    /// Those of a region.
    Region(usize),
}

/// Which way nothing passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Nothing comes into the area.
    In,
    /// Nothing gets out of it.
    Out,
    /// Neither.
    Both,
}

/// The places of all brokers, and the ways between them.
#[derive(Debug, Clone)]
pub struct Layout {
    places: Vec<Place>,
    /// By pair of regions.
    between: Vec<Vec<(Time, Time)>>,
    /// Part of the datagrams that is lost on each way.
    pub loss: f64,
    /// Bytes of a datagram that go in one packet of the network, each of which is lost by itself; 0: all of them.
    pub fragment: usize,
    /// What is cut, each against all the rest. An entry ends when it is mended.
    cuts: Vec<(Area, Direction)>,
}

impl Layout {
    /// So many brokers in so many regions and zones. Brokers go round the zones, beginning with the first of each region:
    /// voters, who are the first brokers, stand in different regions. Ways between regions are spread evenly over
    /// [`BETWEEN`], by pair, the same in both directions.
    pub fn new(hosts: usize, regions: usize, zones: usize) -> Result<Layout, LayoutError> {
        if regions == 0 || zones < regions {
            return Err(LayoutError::Zones { regions, zones });
        }
        if hosts < zones {
            return Err(LayoutError::Empty { hosts, zones });
        }
        let racks = hosts.div_ceil(zones).div_ceil(RACK);
        let place = |h: usize| {
            let zone = h % zones;
            Place { region: zone % regions, zone, rack: zone * racks + h / zones / RACK }
        };
        let mut pairs: Vec<(usize, usize)> =
            (0..regions).flat_map(|a| (a + 1..regions).map(move |b| (a, b))).collect();
        pairs.sort_by_key(|(a, b)| mix(&(a * regions + b).to_le_bytes(), 34));
        let mut between = vec![vec![BETWEEN; regions]; regions];
        let (least, most) = (BETWEEN.0, BETWEEN.1 - BETWEEN.1 / JITTER);
        for (i, (a, b)) in pairs.iter().enumerate() {
            let from = least + (most - least) * i as Time / (pairs.len().max(2) - 1) as Time;
            let way = (from, from + BETWEEN.1.min(from) / JITTER);
            between[*a][*b] = way;
            between[*b][*a] = way;
        }
        let places = (0..hosts).map(place).collect();
        Ok(Layout { places, between, loss: 0.02, fragment: 0, cuts: Vec::new() })
    }

    /// The size in two years: 7 regions with 17 zones, 2% of all datagrams lost.
    pub fn in_two_years(hosts: usize) -> Result<Layout, LayoutError> {
        Layout::new(hosts, 7, 17)
    }

    /// How many brokers stand here.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nobody does.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Where a broker stands.
    pub fn place(&self, host: usize) -> Option<Place> {
        self.places.get(host).copied()
    }

    fn holds(&self, area: Area, host: usize) -> bool {
        let place = &self.places[host];
        match area {
            Area::Host(one) => host == one,
            Area::Rack(rack) => place.rack == rack,
            Area::Zone(zone) => place.zone == zone,
            Area::Region(region) => place.region == region,
        }
    }

    /// The brokers of an area, by number.
    pub fn hosts(&self, area: Area) -> Vec<usize> {
        (0..self.places.len()).filter(|h| self.holds(area, *h)).collect()
    }

    /// Cuts an area off from all the rest; within it nothing changes.
    pub fn cut(&mut self, area: Area, direction: Direction) {
        self.cuts.push((area, direction));
    }

    /// Mends all cuts of an area.
    pub fn mend(&mut self, area: Area) {
        self.cuts.retain(|(cut, _)| *cut != area);
    }

    /// The way from one broker to another.
    pub fn link(&self, from: usize, to: usize) -> Link {
        let (Some(a), Some(b)) = (self.place(from), self.place(to)) else { return Link::CUT };
        for (area, direction) in &self.cuts {
            let passes = match (self.holds(*area, from), self.holds(*area, to)) {
                (false, true) => *direction == Direction::Out,
                (true, false) => *direction == Direction::In,
                _ => true,
            };
            if !passes {
                return Link::CUT;
            }
        }
        let delay = if a.zone == b.zone {
            WITHIN_ZONE
        } else if a.region == b.region {
            WITHIN_REGION
        } else {
            self.between[a.region][b.region]
        };
        Link { loss: self.loss, delay, twice: 0.0 }
    }

    /// Part of datagrams of so many bytes that are lost on a link.
    pub fn lost(&self, link: &Link, bytes: usize) -> f64 {
        if self.fragment == 0 {
            return link.loss;
        }
        1.0 - (1.0 - link.loss).powi(bytes.div_ceil(self.fragment).max(1) as i32)
    }
}

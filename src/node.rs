//! One controller: what it knows of the others, and how a request of a user
//! or a worker finds the one who may answer it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tracing::{debug, info};

use crate::cloud::Cloud;
use crate::core::admission::{admissible, Unfit};
use crate::core::record::{self, FinalRecord, JobRecord};
use crate::core::Config;
use crate::http::Http;
use crate::job_lookup::{Finals, Lookup};
use crate::leader::active_leader::ActiveLeader;
use crate::peer::{Ask, Link, Reply};
use crate::settings::{Platform, Tuning};
use crate::sockets::Sockets;
use crate::stall::StallDetector;
use crate::store::Store;
use crate::wire::{Change, Guard, JobId, JobSpec, JobView, MachineType, Redirect, Standing, Transaction};

/// A controller whose link was quiet so long isn't counted as connected.
const PEER_QUIET: Duration = Duration::from_millis(2500);

/// Who leads, as far as is known here.
#[derive(Debug, Clone)]
pub enum Role {
    /// Not known.
    Unknown,
    /// Another.
    Following {
        /// Its name.
        host: String,
        /// Its term.
        term: u64,
    },
    /// This one.
    Leading(Arc<ActiveLeader>),
}

/// A controller.
#[derive(Debug)]
pub struct Node {
    /// The platform's settings.
    pub platform: Platform,
    /// The operators' settings.
    pub tuning: Tuning,
    /// What the model needs of both.
    pub config: Arc<Config>,
    /// Tells this process from its earlier self.
    pub nonce: u64,
    /// The state service.
    pub store: Arc<Store>,
    /// The cloud.
    pub cloud: Arc<Cloud>,
    /// The budget of sockets.
    pub sockets: Sockets,
    /// Whether this process runs as it should.
    pub stall_detector: StallDetector,
    /// Links to the other controllers.
    pub links: Vec<Arc<Link>>,
    /// Final states.
    pub finals: Mutex<Finals>,
    /// Machine types, once known.
    pub types: Mutex<Arc<Vec<MachineType>>>,
    role: Mutex<Role>,
    term: Mutex<u64>,
    peers: Mutex<HashMap<String, Instant>>,
}

/// Milliseconds of the time of day.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Whether a body can be a JSON object: a list of values in the order of the
/// fields would be read as one, too.
fn is_object(body: &[u8]) -> bool {
    body.trim_ascii_start().starts_with(b"{")
}

/// The id in a submission, whatever else is wrong with it.
fn id_in(body: &[u8]) -> Option<JobId> {
    if !is_object(body) {
        return None;
    }
    #[derive(serde::Deserialize)]
    struct Only {
        #[serde(rename = "name_id")]
        id: JobId,
    }
    serde_json::from_slice::<Only>(body).ok().map(|o| o.id)
}

impl Node {
    /// A controller that is not running yet.
    pub fn new(platform: Platform, tuning: Tuning) -> Arc<Self> {
        let limits = platform.params.state.clone();
        let http = Http::default();
        let store = Store::new(http.clone(), platform.services.state.to_string(), &limits);
        let cloud = Cloud::new(
            http,
            platform.services.cloud.to_string(),
            platform.params.cloud.rps,
        );
        let sockets = Sockets::new(platform.params.limits.sockets);
        let links = platform
            .peers
            .iter()
            .map(|p| Link::new(p.node.clone(), p.addr, sockets.most_incoming()))
            .collect();
        Arc::new(Self {
            config: Arc::new(Config::new(&platform, tuning.clone())),
            nonce: rand::random(),
            sockets,
            stall_detector: StallDetector::new(Instant::now()),
            store: Arc::new(store),
            cloud: Arc::new(cloud),
            links,
            finals: Mutex::default(),
            types: Mutex::default(),
            role: Mutex::new(Role::Unknown),
            term: Mutex::new(0),
            peers: Mutex::default(),
            platform,
            tuning,
        })
    }

    /// This controller's name.
    pub fn host(&self) -> &str {
        &self.platform.node
    }

    // ---- who leads -----------------------------------------------------

    /// Who leads, as far as is known.
    pub fn role(&self) -> Role {
        self.role.lock().clone()
    }

    /// Notes who leads.
    pub fn set_role(&self, role: Role) {
        *self.role.lock() = role;
    }

    /// The highest term known.
    pub fn known_term(&self) -> u64 {
        *self.term.lock()
    }

    /// Notes a term. A leader of an older one steps down.
    pub fn observe_term(&self, term: u64) {
        {
            let mut known = self.term.lock();
            if term <= *known {
                return;
            }
            *known = term;
        }
        let role = self.role();
        if let Role::Leading(active_leader) = role {
            if active_leader.term < term {
                info!(
                    term = active_leader.term,
                    newer = term,
                    "another leads in a newer term"
                );
                active_leader.end();
            }
        }
    }

    /// Notices that the process has stood still. Asked wherever something is
    /// about to follow from what was heard, or not heard, of late.
    pub fn check_for_stall(&self) {
        let now = Instant::now();
        let Some(still) = self.stall_detector.take_stall(now) else {
            return;
        };
        info!(for_s = still.as_secs_f64(), "this process stood still");
        if let Role::Leading(active_leader) = self.role() {
            active_leader.woke(now);
        }
    }

    /// The latest leader known here, and its term.
    pub fn known_leader(&self) -> Option<(u64, String)> {
        match self.role() {
            Role::Unknown => None,
            Role::Following { host, term } => Some((term, host)),
            Role::Leading(r) => Some((r.term, self.host().to_owned())),
        }
    }

    /// Another controller tells who leads. One that can't read the state
    /// service itself still finds the leader so.
    pub fn observe_leader(&self, leader: Option<(u64, String)>) {
        let Some((term, host)) = leader.filter(|(_, h)| h != self.host()) else {
            return;
        };
        let mut role = self.role.lock();
        let newer = match &*role {
            Role::Unknown => true,
            Role::Following { term: known, .. } => term > *known,
            Role::Leading(_) => false,
        };
        if newer && term >= self.known_term() {
            info!(leader = host, term, "following, by another's word");
            *role = Role::Following { host, term };
        }
    }

    /// Whether this controller can be of use to a user: it leads, or another
    /// can be asked, or the state service can.
    pub fn can_serve(&self) -> bool {
        self.active_leader().is_some() || self.links.iter().any(|l| l.alive()) || self.store.reachable()
    }

    /// The active_leader, if this one leads and may act now.
    fn active_leader(&self) -> Option<Arc<ActiveLeader>> {
        match self.role() {
            Role::Leading(r) if r.may_act() => Some(r),
            _ => None,
        }
    }

    /// Another controller's link spoke.
    pub fn peer_alive(&self, host: &str) {
        self.peers.lock().insert(host.to_owned(), Instant::now());
    }

    /// Another controller's link ended.
    pub fn lost_peer(&self, host: &str) {
        self.peers.lock().remove(host);
    }

    /// Controllers connected to this one, itself included.
    pub fn connected(&self) -> Vec<String> {
        let peers = self.peers.lock();
        let mut all: Vec<String> = peers
            .iter()
            .filter(|(_, t)| t.elapsed() < PEER_QUIET)
            .map(|(h, _)| h.clone())
            .collect();
        all.push(self.host().to_owned());
        all.sort();
        all
    }

    async fn ask_leader(&self, ask: Ask, patience: Duration) -> Option<Reply> {
        let Role::Following { host, .. } = self.role() else {
            return None;
        };
        let link = self.links.iter().find(|l| l.host == host)?;
        link.ask(ask, patience).await.filter(|r| r.status != 0)
    }

    /// Answers another controller's question.
    pub async fn answer_peer(&self, from: &str, ask: Ask) -> Reply {
        if let Ask::Report(body) = ask {
            return self.answer_report(from, &body);
        }
        let Some(active_leader) = self.active_leader() else {
            return Reply::not_leading();
        };
        match ask {
            Ask::Submit(body) => active_leader.submit(&body).await,
            Ask::Poll(id) => match id.parse() {
                Ok(id) => active_leader.poll(id).await,
                Err(_) => Reply::error(404, "no such job"),
            },
            Ask::Cancel(id) => match id.parse() {
                Ok(id) => active_leader.cancel(id).await,
                Err(_) => Reply::error(404, "no such job"),
            },
            Ask::Ping { .. } | Ask::Report(_) => Reply::not_leading(),
        }
    }

    /// Answers a report that another controller passes on.
    pub fn answer_report(&self, from: &str, body: &[u8]) -> Reply {
        self.check_for_stall();
        match self.role() {
            Role::Leading(active_leader) => active_leader.report(body, from),
            _ => Reply::not_leading(),
        }
    }

    // ---- users ---------------------------------------------------------

    /// A submission.
    pub async fn submit(&self, body: &[u8]) -> Reply {
        self.check_for_stall();
        if let Some(active_leader) = self.active_leader() {
            return active_leader.submit(body).await;
        }
        if let Some(view) = id_in(body).and_then(|id| self.finals.lock().view(id)) {
            return Reply::json(200, &view);
        }
        let asked = self
            .ask_leader(Ask::Submit(body.to_vec()), self.tuning.forward)
            .await;
        match asked {
            Some(r) if r.status != 503 => r,
            _ => self.submit_direct(body).await,
        }
    }

    /// A poll.
    pub async fn poll(&self, id: JobId) -> Reply {
        self.check_for_stall();
        if self.stall_detector.overloaded(Instant::now()) {
            return match self.finals.lock().view(id) {
                Some(view) => Reply::json(200, &view),
                None => Reply::later("too much to do"),
            };
        }
        if let Some(active_leader) = self.active_leader() {
            return active_leader.poll(id).await;
        }
        if let Some(view) = self.finals.lock().view(id) {
            return Reply::json(200, &view);
        }
        let asked = self
            .ask_leader(Ask::Poll(id.to_string()), self.tuning.forward)
            .await;
        match asked {
            Some(r) if r.status != 503 => {
                self.learn(&r);
                r
            }
            _ => match self.lookup(id).await {
                Ok(found) => self.reply_about(id, &found).await,
                Err(_) => Reply::later("the job's state can't be read now"),
            },
        }
    }

    /// Keeps a final state that passes by.
    fn learn(&self, r: &Reply) {
        if r.status != 200 {
            return;
        }
        if let Ok(v) = serde_json::from_slice::<JobView>(&r.body) {
            if matches!(v.state, Standing::Done | Standing::Cancelled) {
                let record = FinalRecord {
                    state: v.state,
                    done: v.done,
                    ended_at: None,
                };
                self.finals.lock().keep(v.id, record);
            }
        }
    }

    /// A cancellation. Only the leader can take it.
    pub async fn cancel(&self, id: JobId) -> Reply {
        if let Some(active_leader) = self.active_leader() {
            return active_leader.cancel(id).await;
        }
        if let Some(view) = self.finals.lock().view(id) {
            return Reply::json(200, &view);
        }
        let asked = self
            .ask_leader(Ask::Cancel(id.to_string()), Duration::from_secs(2))
            .await;
        match asked {
            Some(r) if r.status != 503 => {
                self.learn(&r);
                r
            }
            _ => {
                let Ok(found) = self.lookup(id).await else {
                    return Reply::later("no leader to cancel it now");
                };
                match self.standing(&found).await {
                    Ok(None | Some(Standing::Cancelled | Standing::Done)) => {
                        self.reply_about(id, &found).await
                    }
                    _ => Reply::later("no leader to cancel it now"),
                }
            }
        }
    }

    /// The machine types, read from the state service if need be.
    pub async fn known_types(&self) -> Arc<Vec<MachineType>> {
        let known = self.types.lock().clone();
        if !known.is_empty() {
            return known;
        }
        if let Ok(Ok(item)) = self.store.get_soon(record::TYPES).await {
            if let Ok(types) = serde_json::from_value::<Vec<MachineType>>(item.value) {
                *self.types.lock() = Arc::new(types);
            }
        }
        self.types.lock().clone()
    }

    /// Judges a submission: its job, or the answer.
    pub fn judge(&self, body: &[u8], types: &[MachineType]) -> Result<JobSpec, Reply> {
        if !is_object(body) {
            return Err(Reply::error(400, "not a JSON object"));
        }
        let mut json = serde_json::Deserializer::from_slice(body);
        // The error names the field.
        let spec: JobSpec =
            serde_path_to_error::deserialize(&mut json).map_err(|e| Reply::error(400, &e.to_string()))?;
        json.end().map_err(|e| Reply::error(400, &e.to_string()))?;
        spec.check()
            .map_err(|f| Reply::error(400, &format!("invalid field `{f}`")))?;
        if !self.config.teams.contains_key(&spec.team) {
            return Err(Reply::error(422, &Unfit::Team.to_string()));
        }
        if types.is_empty() {
            return Err(Reply::later("the machine types are not known yet"));
        }
        admissible(&spec, &self.config.teams, types).map_err(|u| Reply::error(422, &u.to_string()))?;
        let mut spec = spec;
        if spec.awaits.contains(&spec.id) {
            return Err(Reply::error(422, &Unfit::AwaitsItself.to_string()));
        }
        if let Some(list) = &mut spec.types {
            // Types that don't exist are of no use to anybody.
            list.retain(|t| types.iter().any(|k| k.name == *t));
            list.sort();
            list.dedup();
        }
        spec.awaits.sort_unstable();
        spec.awaits.dedup();
        Ok(spec)
    }

    /// The id of a submission, or the answer to one that has none.
    pub fn id_of(&self, body: &[u8]) -> Result<JobId, Reply> {
        id_in(body).ok_or_else(|| match self.judge(body, &[]) {
            Err(r) if r.status == 400 => r,
            _ => Reply::error(400, "malformed id"),
        })
    }

    /// Whether the record fits the state service.
    pub fn record_fits(&self, record: &JobRecord) -> bool {
        // A cancellation adds to it.
        serde_json::to_vec(record).is_ok_and(|v| v.len() + 64 <= self.config.value_bytes)
    }

    /// Stores a new job without the leader, who finds it by its inbox mark.
    async fn submit_direct(&self, body: &[u8]) -> Reply {
        let id = match self.id_of(body) {
            Ok(id) => id,
            Err(r) => return r,
        };
        // The id comes before the body: a repeat of an accepted job is 200.
        match self.lookup(id).await {
            Ok(Lookup::Absent) => {}
            Ok(found) => return self.reply_about(id, &found).await,
            Err(_) => return Reply::later("the job's state can't be read now"),
        }
        let types = self.known_types().await;
        let spec = match self.judge(body, &types) {
            Ok(s) => s,
            Err(r) => return r,
        };
        let rec = JobRecord {
            spec,
            at: wall_ms(),
            cancelled: false,
        };
        if !self.record_fits(&rec) {
            return Reply::error(400, "the job's description is too long");
        }
        if let Err(r) = self.check_awaits(&rec.spec, |_| None).await {
            return r;
        }
        let Ok(value) = serde_json::to_value(&rec) else {
            return Reply::error(400, "malformed");
        };
        let t = Transaction {
            conditions: vec![
                Guard {
                    key: record::job_key(id),
                    version: 0,
                },
                Guard {
                    key: record::final_key(id),
                    version: 0,
                },
            ],
            changes: vec![
                Change::Put {
                    put: record::job_key(id),
                    value,
                    lease: None,
                },
                Change::Put {
                    put: record::inbox_key(id),
                    value: true.into(),
                    lease: None,
                },
            ],
        };
        match self.store.transact(&t, Duration::from_millis(1200)).await {
            Ok(_) => {
                debug!(job = %id, "accepted without the leader");
                accepted(id, 201)
            }
            Err(_) => match self.lookup(id).await {
                Ok(Lookup::Absent) | Err(_) => Reply::later("the job can't be stored now"),
                Ok(found) => self.reply_about(id, &found).await,
            },
        }
    }

    // ---- workers -------------------------------------------------------

    /// A worker's report, relayed to the leader if that is another.
    pub async fn report(&self, body: &[u8]) -> Reply {
        self.check_for_stall();
        match self.role() {
            Role::Leading(active_leader) => active_leader.report(body, self.host()),
            Role::Following { .. } => self
                .ask_leader(Ask::Report(body.to_vec()), Duration::from_millis(2500))
                .await
                .unwrap_or_else(|| Reply::later("no leader answers")),
            Role::Unknown => Reply::later("no leader known"),
        }
    }

    /// The answer that sends a worker elsewhere.
    pub fn elsewhere(host: &str) -> Reply {
        Reply::json(
            421,
            &Redirect {
                report_to: Some(host.to_owned()),
            },
        )
    }
}

/// A submission was accepted.
pub fn accepted(id: JobId, status: u16) -> Reply {
    Reply::json(
        status,
        &JobView {
            id,
            state: Standing::Queued,
            done: 0,
            running: 0,
        },
    )
}

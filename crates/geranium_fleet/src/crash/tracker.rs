//! Counts crashes and refuses what causes them.

use std::cmp::Reverse;
use std::time::Duration;

use geranium_core::collections::{HashMap, HashSet};
use geranium_core::time::Timestamp;

use super::answered_parts::AnsweredParts;
use super::disconnects::Disconnects;
use super::evidence::Evidence;
use super::refusal::Refusal;
use super::{
    CRASHES_TO_REFUSE, CrashCount, CrashId, CrashReport, CrashSubject, CrashVerdict, RefusalChange,
    Trial,
};

/// Number of crashes after which a prompt part is refused that was answered before. It hardly crashes backend servers
/// and is there at many crashes, as many prompts contain it.
const CRASHES_TO_REFUSE_ANSWERED: usize = 6;
/// Crashes without any refused combination with another subject that show that the subject
/// alone is the cause.
const CRASHES_WITHOUT_COMBINATION: usize = 2;
/// Time from the last crash to the first trial of a refused prompt part.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(15);
/// Time between the trials of parts of which nothing tells which one is the cause. They are
/// tried in turn, as one that crashes a server drops the others there: the trial of a sound
/// one is answered and frees it, and that of the cause breaks the tie.
const TIE_TRIAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Factor by which each further crash prolongs the time to the next trial.
const TRIAL_BACKOFF: u32 = 4;
/// Longest time between two trials. A request as a whole is refused for this time.
const MAX_REFUSAL: Duration = Duration::from_secs(600);
/// Time for which a subject is remembered after its last change.
const RETENTION: Duration = MAX_REFUSAL;
/// Maximum number of subjects. Beyond it, those without a second crash are forgotten first.
const MAX_SUBJECTS: usize = 4_096;
/// Maximum number of crashes whose possible causes are remembered.
const MAX_CRASHES: usize = 512;

/// Counts the crashes of requests and prompt parts, and refuses those that cause them.
///
/// # Examples
///
/// ```
/// use geranium_core::time::Timestamp;
/// use geranium_fleet::crash::{CrashId, CrashSubject, CrashTracker, CrashVerdict};
///
/// let mut tracker = CrashTracker::default();
/// let now = Timestamp::from_millis(1_000);
/// let subjects = [CrashSubject::Request(99)];
/// for incarnation in 0..3 {
///     assert_eq!(tracker.verdict(&subjects, now), CrashVerdict::Allowed);
///     let sent = tracker.counts(&subjects);
///     let crash = CrashId { host: "h1".into(), incarnation };
///     tracker.record_disconnect(crash.clone(), &subjects, &sent, now);
///     assert!(tracker.confirm_crash(&crash, now).is_some());
///     tracker.update_refusals(now);
/// }
/// assert_ne!(tracker.verdict(&subjects, now), CrashVerdict::Allowed);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    disconnects: Disconnects,
    subjects: HashMap<CrashSubject, Evidence>,
    /// Possible causes of each crash.
    causes: HashMap<CrashId, HashSet<CrashSubject>>,
    refused: HashMap<CrashSubject, Refusal>,
    answered: AnsweredParts,
}

impl CrashTracker {
    /// Returns the counts of those subjects that may have caused a crash, for a request that
    /// is about to be sent.
    #[must_use]
    pub fn counts(&self, subjects: &[CrashSubject]) -> Vec<CrashCount> {
        if self.subjects.is_empty() {
            return Vec::new();
        }
        let known = subjects.iter().filter_map(|s| self.subjects.get(s));
        known
            .map(|e| e.count)
            .filter(|c| c.suspicion() > 0)
            .collect()
    }

    /// Records that a backend server dropped a request that it had hardly begun to answer.
    /// `sent` are the [`counts`](Self::counts) of the request's subjects when it was sent.
    pub fn record_disconnect(
        &mut self,
        from: CrashId,
        subjects: &[CrashSubject],
        sent: &[CrashCount],
        now: Timestamp,
    ) {
        let count_when_sent = |subject: &CrashSubject| {
            let known = sent.iter().find(|c| c.subject == *subject).copied();
            known.unwrap_or_else(|| self.count_without_suspicion(*subject))
        };
        let counts = subjects.iter().map(count_when_sent).collect();
        self.disconnects.add(from, counts, now);
    }

    /// Returns the count of a subject that was not suspected when its request was sent: all
    /// crashes that were disproved by now are known to be others.
    fn count_without_suspicion(&self, subject: CrashSubject) -> CrashCount {
        let disproved = self.subjects.get(&subject).map_or(0, |e| e.count.disproved);
        let answered_before = match subject {
            CrashSubject::Part(part) => self.answered.contains(part),
            CrashSubject::Request(_) => false,
        };
        CrashCount {
            subject,
            crashes: disproved,
            disproved,
            answered_before,
        }
    }

    /// Records that an incarnation of a backend server has ended. Returns the report for the
    /// other entry hosts if it had dropped requests shortly before.
    pub fn confirm_crash(&mut self, crash: &CrashId, now: Timestamp) -> Option<CrashReport> {
        let report = self.disconnects.confirm(crash, now)?;
        self.apply_report(&report, now);
        Some(report)
    }

    /// Takes over a report of this or another entry host.
    pub fn apply_report(&mut self, report: &CrashReport, now: Timestamp) {
        self.forget_old(now);
        let causes = self.causes.entry(report.crash.clone()).or_default();
        causes.extend(report.requests.iter().flatten().map(|c| c.subject));
        for request in &report.requests {
            self.add_crash(&report.crash, request, now);
        }
    }

    /// Adds a crash to the evidence against each subject of a request.
    fn add_crash(&mut self, crash: &CrashId, request: &[CrashCount], now: Timestamp) {
        for count in request {
            let evidence = self.evidence(count.subject, now);
            let raised = evidence.add_crash(crash, count, request, now);
            let refusal = self.refused.get_mut(&count.subject);
            if let Some(refusal) = refusal.filter(|_| raised) {
                refusal.restart_trials(now);
            }
        }
    }

    /// Records that a request was answered, by the [`counts`](Self::counts) of its subjects
    /// when it was sent. Returns whether the other entry hosts should be told
    /// ([`take_disproved`](Self::take_disproved)).
    pub fn record_answer(
        &mut self,
        subjects: &[CrashSubject],
        sent: &[CrashCount],
        now: Timestamp,
    ) -> bool {
        for subject in subjects {
            if let CrashSubject::Part(part) = subject {
                self.answered.insert(*part);
            }
        }
        let mut tell = false;
        for count in sent {
            let evidence = self.evidence(count.subject, now);
            let disproved = count.crashes;
            let answered = CrashCount {
                disproved,
                ..*count
            };
            evidence.merge(&answered, now);
            tell |= evidence.is_worth_telling();
        }
        tell
    }

    /// Returns the counts that other entry hosts do not know to be disproved and should be
    /// told of; from now on they count as told.
    pub fn take_disproved(&mut self) -> Vec<CrashCount> {
        let worth = self.subjects.values_mut().filter(|e| e.is_worth_telling());
        worth
            .map(|e| {
                e.disproved_for_all = e.count.disproved;
                e.count
            })
            .collect()
    }

    /// Takes over an answer that another entry host has seen.
    pub fn apply_disproved(&mut self, count: &CrashCount, now: Timestamp) {
        let evidence = self.evidence(count.subject, now);
        evidence.disproved_for_all = evidence.disproved_for_all.max(count.disproved);
        evidence.merge(count, now);
    }

    /// Returns whether a request with the subjects may run.
    #[must_use]
    pub fn verdict(&self, subjects: &[CrashSubject], now: Timestamp) -> CrashVerdict {
        let mut verdict = CrashVerdict::Allowed;
        if self.refused.is_empty() {
            return verdict;
        }
        for subject in subjects {
            let Some(refusal) = self.refused.get(subject) else {
                continue;
            };
            if self.lacks_common_subject(subject, subjects) {
                continue;
            }
            let next = refusal.next_trial_at();
            if now < next {
                return CrashVerdict::Refused {
                    subject: *subject,
                    retry_after: next.since(now),
                };
            }
            verdict = CrashVerdict::Trial(Trial {
                subject: *subject,
                crashes: refusal.crashes,
                number: refusal.trial_number(now),
            });
        }
        verdict
    }

    /// Returns whether a request with the subjects lacks one that all crashed requests with
    /// `subject` had.
    fn lacks_common_subject(&self, subject: &CrashSubject, subjects: &[CrashSubject]) -> bool {
        let evidence = self.subjects.get(subject);
        evidence.is_some_and(|e| e.in_common.iter().any(|s| !subjects.contains(s)))
    }

    /// Records that a trial was won by this or another entry host.
    pub fn record_trial(&mut self, trial: &Trial) {
        let refusal = self.refused.get_mut(&trial.subject);
        if let Some(refusal) = refusal.filter(|r| r.crashes == trial.crashes) {
            refusal.record_trial(trial.number);
        }
    }

    /// Decides anew which subjects are refused, after the counts have changed. Returns those
    /// for which that is different.
    pub fn update_refusals(&mut self, now: Timestamp) -> Vec<RefusalChange> {
        let mut refused: HashMap<CrashSubject, Refusal> = HashMap::default();
        for subject in self.suspects() {
            if let Some(refusal) = self.refusal(subject, &refused, now) {
                refused.insert(subject, refusal);
            }
        }
        take_turns(&mut refused);
        let before = std::mem::replace(&mut self.refused, refused);
        self.changes_since(&before)
    }

    /// Returns the refusal of a subject, or `None` if it is not refused, given the more
    /// specific subjects that are.
    fn refusal(
        &self,
        subject: CrashSubject,
        refused: &HashMap<CrashSubject, Refusal>,
        now: Timestamp,
    ) -> Option<Refusal> {
        let evidence = self.subjects.get(&subject)?;
        let period = self.refusal_period(evidence, refused)?;
        let before = self.refused.get(&subject);
        Some(Refusal {
            since: before.map_or(now, |r| r.since),
            crashes: evidence.count.crashes,
            first_trial_after: period,
            period,
            is_tied: self.is_tied(evidence),
            trials: before.map_or(0, |r| r.trials),
        })
    }

    /// Returns the subjects with enough crashes, those first that are more specific: whose
    /// crashed requests have more in common.
    fn suspects(&self) -> Vec<CrashSubject> {
        let evidence = self.subjects.values();
        let mut suspects: Vec<&Evidence> = evidence.filter(|e| e.is_suspect()).collect();
        suspects.sort_unstable_by_key(|e| (Reverse(e.in_common.len()), e.count.subject));
        suspects.iter().map(|e| e.count.subject).collect()
    }

    fn changes_since(&self, before: &HashMap<CrashSubject, Refusal>) -> Vec<RefusalChange> {
        let added = self.refused.keys().filter(|s| !before.contains_key(s));
        let removed = before.keys().filter(|s| !self.refused.contains_key(s));
        let mut changes: Vec<RefusalChange> = added
            .chain(removed)
            .map(|subject| RefusalChange {
                count: self.known_count(*subject),
                refused: self.refused.contains_key(subject),
            })
            .collect();
        changes.sort_unstable_by_key(|c| c.count.subject);
        changes
    }

    fn known_count(&self, subject: CrashSubject) -> CrashCount {
        let evidence = self.subjects.get(&subject);
        evidence.map_or(CrashCount::new(subject), |e| e.count)
    }

    /// Returns the number of refused subjects.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }

    /// Returns the time between trials of a subject, or `None` if it is not refused, given
    /// the more specific subjects that are.
    fn refusal_period(
        &self,
        evidence: &Evidence,
        refused: &HashMap<CrashSubject, Refusal>,
    ) -> Option<Duration> {
        let caused = evidence.count_unexplained(|crash| self.has_likelier_cause(crash, evidence));
        let caused_alone = evidence.count_unexplained(|crash| {
            self.has_likelier_cause(crash, evidence)
                || self.has_refused_combination(crash, evidence, refused)
        });
        let further = if evidence.count.answered_before {
            caused_alone.checked_sub(CRASHES_TO_REFUSE_ANSWERED)?
        } else {
            caused_alone.checked_sub(CRASHES_WITHOUT_COMBINATION)?;
            caused.checked_sub(evidence.crashes_needed())?;
            caused.saturating_sub(CRASHES_TO_REFUSE)
        };
        if let CrashSubject::Request(_) = evidence.count.subject {
            return Some(MAX_REFUSAL);
        }
        let factor = TRIAL_BACKOFF.saturating_pow(u32::try_from(further).unwrap_or(u32::MAX));
        Some(FIRST_TRIAL_AFTER.saturating_mul(factor).min(MAX_REFUSAL))
    }

    /// Returns whether a crash has a likelier cause in another request. It counts as having
    /// one if its causes are not remembered.
    fn has_likelier_cause(&self, crash: &CrashId, than: &Evidence) -> bool {
        let is_likelier = |other: &CrashSubject| {
            let other = self.subjects.get(other);
            other.is_some_and(|o| o.is_likelier_than(than))
        };
        let causes = self.causes.get(crash);
        causes.is_none_or(|causes| {
            let mut others = causes.iter().filter(|c| !than.in_common.contains(c));
            others.any(is_likelier)
        })
    }

    /// Returns whether another part of other requests explains a crash of a subject equally well.
    fn is_tied(&self, evidence: &Evidence) -> bool {
        let is_equal = |other: &CrashSubject| {
            let other = self.subjects.get(other);
            other.is_some_and(|o| o.is_as_likely_as(evidence))
        };
        let causes = evidence.crash_ids().filter_map(|c| self.causes.get(c));
        let mut others = causes
            .flatten()
            .filter(|c| !evidence.in_common.contains(c) && **c != evidence.count.subject);
        others.any(is_equal)
    }

    /// Returns whether a crash had a request with the subject and another one that are
    /// refused together.
    ///
    /// That whole requests with a part are refused does not clear it, if it was never
    /// answered: several of them, each sent again and again, have the part in common.
    fn has_refused_combination(
        &self,
        crash: &CrashId,
        with: &Evidence,
        refused: &HashMap<CrashSubject, Refusal>,
    ) -> bool {
        let subject = with.count.subject;
        let contains_subject = |other: &CrashSubject| {
            let other = self.subjects.get(other);
            other.is_some_and(|o| o.in_common.contains(&subject))
        };
        let causes = self.causes.get(crash).into_iter().flatten();
        let is_part = |s: &CrashSubject| matches!(s, CrashSubject::Part(_));
        let parts_only = is_part(&subject) && !with.count.answered_before;
        let counts = |s: &&CrashSubject| !parts_only || is_part(s);
        let mut refused = causes.filter(|c| **c != subject && counts(c) && refused.contains_key(c));
        refused.any(contains_subject)
    }

    fn evidence(&mut self, subject: CrashSubject, now: Timestamp) -> &mut Evidence {
        let subjects = self.subjects.entry(subject);
        subjects.or_insert_with(|| Evidence::new(subject, now))
    }

    /// Limits what is remembered.
    fn forget_old(&mut self, now: Timestamp) {
        if self.subjects.len() >= MAX_SUBJECTS {
            self.forget_subjects(now);
        }
        if self.causes.len() >= MAX_CRASHES {
            self.forget_causes();
        }
    }

    /// Forgets old subjects. While there are still too many, forgets those without a second
    /// crash, then those that are not refused.
    fn forget_subjects(&mut self, now: Timestamp) {
        let is_recent = |e: &Evidence| now.since(e.changed_at) < RETENTION;
        self.subjects.retain(|_, e| is_recent(e));
        if self.subjects.len() >= MAX_SUBJECTS {
            self.subjects.retain(|_, e| e.count.suspicion() > 1);
        }
        if self.subjects.len() >= MAX_SUBJECTS {
            let refused = &self.refused;
            self.subjects.retain(|s, _| refused.contains_key(s));
        }
        let subjects = &self.subjects;
        self.refused.retain(|s, _| subjects.contains_key(s));
    }

    /// Forgets the causes of crashes of which no subject had a second crash.
    fn forget_causes(&mut self) {
        let subjects = &self.subjects;
        let is_suspected = |s: &CrashSubject| {
            let evidence = subjects.get(s);
            evidence.is_some_and(|e| e.count.suspicion() > 1)
        };
        self.causes
            .retain(|_, causes| causes.iter().any(is_suspected));
    }
}

/// Sets the times of the trials of tied subjects, so that one of them is tried at a time.
fn take_turns(refused: &mut HashMap<CrashSubject, Refusal>) {
    let tied = refused.iter_mut().filter(|(_, r)| r.is_tied);
    let mut tied: Vec<(&CrashSubject, &mut Refusal)> = tied.collect();
    tied.sort_unstable_by_key(|(subject, _)| **subject);
    let round = TIE_TRIAL_INTERVAL * u32::try_from(tied.len()).unwrap_or(u32::MAX);
    let mut turn = Duration::ZERO;
    for (_, refusal) in tied {
        turn += TIE_TRIAL_INTERVAL;
        refusal.first_trial_after = turn;
        refusal.period = round;
    }
}

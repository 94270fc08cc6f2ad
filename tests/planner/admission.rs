//! Admission refuses jobs that can never run on the cluster.

use bitternfold::core::scheduling::admission::{check_admission, AdmissionError};
use bitternfold::wire::*;

use crate::support::*;

#[test]
fn a_job_that_can_never_run_is_refused_with_the_reason() {
    let model = model(1);
    let teams = &model.config().teams;
    let mut spec = job(1, 6, 8.0);
    assert_eq!(check_admission(&spec, teams, model.machine_types()), Ok(()));
    spec.team = "red".into();
    assert_eq!(
        check_admission(&spec, teams, model.machine_types()),
        Ok(()),
        "the tasks of an array may run one after the other"
    );
    spec.kind = JobKind::Service;
    assert_eq!(
        check_admission(&spec, teams, model.machine_types()),
        Err(AdmissionError::ExceedsTeamLimit),
        "48 CPUs at once, the limit is 40"
    );
    spec.team = "green".into();
    assert_eq!(
        check_admission(&spec, teams, model.machine_types()),
        Err(AdmissionError::UnknownTeam)
    );
    let mut too_large = job(2, 1, 8.0);
    too_large.memory_gb = 64.5;
    assert_eq!(
        check_admission(&too_large, teams, model.machine_types()),
        Err(AdmissionError::FitsNoMachineType)
    );
}

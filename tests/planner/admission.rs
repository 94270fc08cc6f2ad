//! Which jobs are refused because no cluster could ever run them.

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
        "an array only needs room for one task"
    );
    spec.kind = JobKind::Service;
    assert_eq!(
        check_admission(&spec, teams, model.machine_types()),
        Err(AdmissionError::ExceedsTeamLimit),
        "48 of 40 CPUs at once"
    );
    spec.team = "green".into();
    assert_eq!(
        check_admission(&spec, teams, model.machine_types()),
        Err(AdmissionError::UnknownTeam)
    );
    let mut big = job(2, 1, 8.0);
    big.memory_gb = 64.5;
    assert_eq!(
        check_admission(&big, teams, model.machine_types()),
        Err(AdmissionError::FitsNoMachineType)
    );
}

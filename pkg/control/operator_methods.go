package control

// OperatorMethods lists what operators ask of keepers. A process that is no
// keeper answers them with CodeNotLeader and names one.
func OperatorMethods() []Method {
	return []Method{
		MethodApply, MethodCheck, MethodGet, MethodHistory, MethodRollback, MethodDrain, MethodRestore,
		MethodStatus, MethodWait, MethodKeeperReplace, MethodKeeperStatus, MethodQuarantineList, MethodQuarantineRelease,
	}
}

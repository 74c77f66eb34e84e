package control

// OperatorMethods returns the methods that operators call on keepers. A process that is not a
// keeper answers them with CodeNotLeader and a keeper's address.
func OperatorMethods() []Method {
	return []Method{
		MethodApply, MethodCheck, MethodGet, MethodHistory, MethodRollback, MethodDrain, MethodRestore,
		MethodStatus, MethodWait, MethodKeeperReplace, MethodKeeperStatus, MethodQuarantineList, MethodQuarantineRelease,
	}
}

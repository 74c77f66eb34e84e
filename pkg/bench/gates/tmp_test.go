package gates
import ("testing")
func TestTmp(t *testing.T){ for _,m:=range Measures()[6:] { v,err:=m.Run(t.Context()); if err!=nil {t.Fatal(err)}; t.Log(m.Name); for _,x:=range v { t.Log("  ",x.Name); for _,f:=range x.Figures { t.Logf("      %-30s %10.2f %s",f.Name,f.Value,f.Unit) } } } }

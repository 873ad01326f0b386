package standin

import "github.com/rotisserie/eris"

var errListen = eris.New("stand-in failed to listen")
